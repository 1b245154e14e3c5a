package lacewingweir.cli.io

import lacewingweir.protocol.bundle.BundleText
import lacewingweir.protocol.json.Validated
import lacewingweir.protocol.settings.Settings
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.SignedBundle
import lacewingweir.state.bundle.SignedBundleCodec
import java.io.IOException
import java.nio.file.Files
import java.nio.file.InvalidPathException
import java.nio.file.Path

/** Reads the files that operators name on the command line. */
internal object InputFiles {
    /** Returns the text of the file, or null if it can't be read. */
    fun readOrNull(path: String): String? =
        try {
            Files.readString(Path.of(path))
        } catch (_: IOException) {
            null
        } catch (_: InvalidPathException) {
            null
        }

    /** Returns the settings in the file, or null after printing all its mistakes. */
    fun settings(
        context: CommandContext,
        path: String,
    ): Settings? = read(context, path) { Settings.parse(it, ::readOrNull) }

    /** Returns the unsigned bundle in the file, or null after printing all its mistakes. */
    fun bundle(
        context: CommandContext,
        path: String,
    ): Bundle? = read(context, path, BundleText::parse)

    /** Returns the signed bundle in the file and its content, or null after printing all its mistakes. */
    fun signedBundle(
        context: CommandContext,
        path: String,
    ): Pair<SignedBundle, Bundle>? {
        val text = readOrNull(path)
        val signed = text?.let { SignedBundleCodec.decode(it.encodeToByteArray()) }
        if (signed == null) {
            context.err(if (text == null) "$path: can't be read" else "$path: not a signed bundle")
            return null
        }
        return valueOrPrintMistakes(context, path, BundleText.parse(signed.payload))?.let { signed to it }
    }

    /** Returns the bundle in the file, signed or not, or null after printing all its mistakes. */
    fun anyBundle(
        context: CommandContext,
        path: String,
    ): Bundle? {
        val signed = readOrNull(path)?.let { SignedBundleCodec.decode(it.encodeToByteArray()) }
        return if (signed == null) bundle(context, path) else signedBundle(context, path)?.second
    }

    private fun <T> read(
        context: CommandContext,
        path: String,
        parse: (String) -> Validated<T>,
    ): T? {
        val text = readOrNull(path)
        if (text == null) {
            context.err("$path: can't be read")
            return null
        }
        return valueOrPrintMistakes(context, path, parse(text))
    }

    private fun <T> valueOrPrintMistakes(
        context: CommandContext,
        path: String,
        checked: Validated<T>,
    ): T? =
        when (checked) {
            is Validated.Valid -> checked.value
            is Validated.Invalid -> {
                context.err("$path: ${checked.errors.size} mistake(s)")
                checked.errors.forEach { context.err("  $it") }
                null
            }
        }
}
