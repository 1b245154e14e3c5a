package lacewingweir.cli

import kotlinx.cli.ArgType
import kotlinx.cli.required
import lacewingweir.cli.io.CommandContext
import lacewingweir.cli.io.InputFiles
import lacewingweir.protocol.bundle.BundleText
import lacewingweir.state.bundle.Ed25519
import lacewingweir.state.bundle.SignedBundle
import lacewingweir.state.bundle.SignedBundleCodec
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.UUID

/** `bundle sign FILE`: validates the bundle and writes it with a signature and a new operation id. */
internal class BundleSignCommand(
    context: CommandContext,
) : OperatorCommand(context, "sign", "Check and sign a bundle") {
    private val file by argument(ArgType.String, "file", description = "Bundle file")
    private val signer by option(ArgType.String, "signer", description = "Signer's name in the settings").required()
    private val keyFile by option(ArgType.String, "key", description = "Private key file").required()
    private val outFile by option(ArgType.String, "out", description = "File for the signed bundle").required()

    override fun run(): Int {
        val bundle = InputFiles.bundle(context, file) ?: return ExitCode.BAD_INPUT
        val payload = BundleText.canonical(bundle)
        val signature = InputFiles.readOrNull(keyFile)?.let { Ed25519.sign(payload, it) }
        if (signature == null) {
            context.err("$keyFile: not a readable Ed25519 private key")
            return ExitCode.BAD_INPUT
        }
        val signed = SignedBundle(payload, signature, signer, UUID.randomUUID().toString())
        return try {
            Files.write(Path.of(outFile), SignedBundleCodec.encode(signed))
            context.out("wrote $outFile: bundle ${bundle.number}, operation ${signed.operationId}")
            ExitCode.SUCCESS
        } catch (e: IOException) {
            context.err("can't write $outFile: $e")
            ExitCode.FAILED
        }
    }
}
