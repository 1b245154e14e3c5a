package lacewingweir.cli

import kotlinx.cli.ArgType
import kotlinx.cli.required
import lacewingweir.cli.io.CommandContext
import lacewingweir.state.bundle.Ed25519
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.nio.file.attribute.PosixFilePermissions

/**
 * `bundle keygen`: generates an Ed25519 key pair and writes it to `<out>.private` and `<out>.public`. Existing files
 * are never overwritten.
 */
internal class BundleKeygenCommand(
    context: CommandContext,
) : OperatorCommand(context, "keygen", "Make an Ed25519 key pair for signing bundles") {
    private val prefix by option(ArgType.String, "out", description = "Path of the files without extension").required()

    override fun run(): Int {
        val pair = Ed25519.newKeyPair()
        val privateFile = Path.of("$prefix.private")
        val publicFile = Path.of("$prefix.public")
        return try {
            val ownerOnly = PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------"))
            Files.createFile(privateFile, ownerOnly)
            Files.writeString(privateFile, pair.privateKey + "\n")
            Files.writeString(publicFile, pair.publicKey + "\n", StandardOpenOption.CREATE_NEW)
            context.out("wrote $privateFile and $publicFile")
            context.out("public key for bundleSigners in the settings: ${pair.publicKey}")
            ExitCode.SUCCESS
        } catch (e: IOException) {
            context.err("can't write the key pair: $e")
            ExitCode.FAILED
        }
    }
}
