package lacewingweir.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.multiple
import lacewingweir.cli.io.CommandContext
import lacewingweir.cli.io.InputFiles
import lacewingweir.protocol.settings.HostPort
import lacewingweir.protocol.settings.Settings

/** A subcommand that accesses the store, which is given by an instance's settings file or by addresses. */
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

    /** The addresses of the store and, if a settings file was given, the settings. */
    protected class StoreTarget(
        val addresses: List<HostPort>,
        val settings: Settings?,
    )

    /** Whether the command line has an option that names the store. */
    protected val hasStoreOption: Boolean
        get() = settingsFile != null || storeTexts.isNotEmpty()

    /** Returns the store that the command line names, or null after printing the errors. */
    protected fun storeTarget(): StoreTarget? {
        val file = settingsFile
        val settings = if (file == null) null else (InputFiles.settings(context, file) ?: return null)
        val givenAddresses = parseAddresses(storeTexts) ?: return null
        val storeAddresses = givenAddresses.ifEmpty { settings?.storeAddresses.orEmpty() }
        if (storeAddresses.isEmpty()) {
            context.err("name the store with --settings or --store")
            return null
        }
        return StoreTarget(storeAddresses, settings)
    }
}
