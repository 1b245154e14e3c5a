package lacewingweir.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.multiple
import lacewingweir.cli.io.CommandContext
import lacewingweir.cli.io.InputFiles
import lacewingweir.protocol.settings.HostPort
import lacewingweir.protocol.settings.Settings

/** Options that name the store, by an instance's settings or by its addresses. */
@OptIn(ExperimentalCli::class)
internal abstract class StoreCommand(
    context: CommandContext,
    name: String,
    description: String,
) : OperatorCommand(context, name, description) {
    private val settingsFile by option(ArgType.String, "settings", description = "Settings file that names the store")
    private val storeTexts by option(
        ArgType.String,
        "store",
        description = "Store address <IP>:<port>, may be repeated",
    ).multiple()

    /** The store's addresses and, if a settings file was given, the settings. */
    protected class StoreTarget(
        val addresses: List<HostPort>,
        val settings: Settings?,
    )

    /** Whether the command line names a store. */
    protected val namesStore: Boolean
        get() = settingsFile != null || storeTexts.isNotEmpty()

    /** The store that the command line names; null after a mistake was shown. */
    protected fun storeTarget(): StoreTarget? {
        val file = settingsFile
        val settings = if (file == null) null else (InputFiles.settings(context, file) ?: return null)
        val given = addresses(storeTexts) ?: return null
        val used = given.ifEmpty { settings?.storeAddresses.orEmpty() }
        if (used.isEmpty()) {
            context.err("name the store with --settings or --store")
            return null
        }
        return StoreTarget(used, settings)
    }
}
