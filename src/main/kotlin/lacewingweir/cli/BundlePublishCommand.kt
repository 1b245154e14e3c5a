package lacewingweir.cli

import kotlinx.cli.ArgType
import kotlinx.coroutines.runBlocking
import lacewingweir.cli.io.CommandContext
import lacewingweir.cli.io.InputFiles
import lacewingweir.cli.operations.BundlePublisher
import lacewingweir.cli.operations.PublishResult
import lacewingweir.state.bundle.Ed25519
import lacewingweir.state.bundle.SignedBundle
import lacewingweir.state.id.BundleNumber

/**
 * `bundle publish FILE`: replaces the bundle in the store if it has the expected number, by default one less than that
 * of FILE.
 *
 * With a settings file, the signature is verified before the bundle is written. Otherwise only the instances verify it.
 */
internal class BundlePublishCommand(
    context: CommandContext,
) : StoreCommand(context, "publish", "Publish a signed bundle") {
    private val file by argument(ArgType.String, "file", description = "Signed bundle")
    private val expected by
        option(
            ArgType.Int,
            "expected",
            description = "Expected number of the bundle in the store, 0 for none; default: one less than in the file",
        )

    override fun run(): Int {
        val target = storeTarget() ?: return ExitCode.BAD_INPUT
        val (signed, bundle) = InputFiles.signedBundle(context, file) ?: return ExitCode.BAD_INPUT
        val signers = target.settings?.bundleSigners
        if (signers != null && !isTrusted(signed, signers)) return ExitCode.BAD_INPUT
        val expectedNumber = BundleNumber(expected?.toLong() ?: (bundle.number.value - 1))
        val result =
            context.openStore(target.addresses).use { handle ->
                runBlocking { BundlePublisher(handle.store).publish(signed, bundle.number, expectedNumber) }
            }
        return when (result) {
            PublishResult.Published -> {
                context.out("published bundle ${bundle.number}, operation ${signed.operationId}")
                ExitCode.SUCCESS
            }
            is PublishResult.Conflict -> failed("conflict: ${result.reason}", ExitCode.CONFLICT)
            is PublishResult.Unknown ->
                failed("outcome unknown: ${result.reason}; publish the same file again to settle it", ExitCode.UNKNOWN)
            is PublishResult.Unreachable -> failed("store unreachable: ${result.reason}", ExitCode.UNREACHABLE)
        }
    }

    private fun isTrusted(
        signed: SignedBundle,
        signers: Map<String, String>,
    ): Boolean {
        val key = signers[signed.signer]
        val valid = key != null && Ed25519.verify(signed.payload, signed.signature, key)
        if (!valid) context.err("$file: the instances would refuse the signature of ${signed.signer}")
        return valid
    }

    private fun failed(
        text: String,
        code: Int,
    ): Int {
        context.err(text)
        return code
    }
}
