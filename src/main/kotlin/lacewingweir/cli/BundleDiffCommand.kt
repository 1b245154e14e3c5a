package lacewingweir.cli

import kotlinx.cli.ArgType
import kotlinx.cli.optional
import kotlinx.coroutines.runBlocking
import lacewingweir.cli.io.CommandContext
import lacewingweir.cli.io.InputFiles
import lacewingweir.cli.operations.BundleDiff
import lacewingweir.coordination.bundle.BundleAgent
import lacewingweir.coordination.store.StoreResult
import lacewingweir.protocol.bundle.BundleText
import lacewingweir.protocol.json.Checked
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.SignedBundleCodec

/** `bundle diff FILE [OLD]`: prints the changes from OLD, by default the bundle in the store, to FILE. */
internal class BundleDiffCommand(
    context: CommandContext,
) : StoreCommand(context, "diff", "Show what a bundle changes in another one or in the store's") {
    private val file by argument(ArgType.String, "file", description = "New bundle, signed or unsigned")
    private val oldFile by
        argument(ArgType.String, "old", description = "Bundle to compare with; default: the store's").optional()

    override fun run(): Int {
        val new = readBundle(file) ?: return ExitCode.BAD_INPUT
        val oldPath = oldFile ?: return compareWithStore(new)
        val old = readBundle(oldPath) ?: return ExitCode.BAD_INPUT
        return printDiff(old, new)
    }

    private fun compareWithStore(new: Bundle): Int {
        val target = storeTarget() ?: return ExitCode.BAD_INPUT
        val result = context.openStore(target.addresses).use { runBlocking { it.store.get(BundleAgent.STORE_KEY) } }
        if (result !is StoreResult.Ok) {
            context.err("store unreachable: $result")
            return ExitCode.UNREACHABLE
        }
        val signed = result.value?.let { SignedBundleCodec.decode(it.value) }
        val old = signed?.let { (BundleText.parse(it.payload) as? Checked.Valid)?.value }
        if (old != null) return printDiff(old, new)
        context.err("the store holds no readable bundle")
        return ExitCode.FAILED
    }

    private fun printDiff(
        old: Bundle,
        new: Bundle,
    ): Int {
        val lines = BundleDiff.lines(old, new)
        if (lines.isEmpty()) context.out("no difference") else lines.forEach(context.out)
        return ExitCode.SUCCESS
    }

    private fun readBundle(path: String): Bundle? {
        val signed = InputFiles.readOrNull(path)?.let { SignedBundleCodec.decode(it.encodeToByteArray()) }
        return if (signed == null) InputFiles.bundle(context, path) else InputFiles.signedBundle(context, path)?.second
    }
}
