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
import lacewingweir.protocol.json.Validated
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.SignedBundleCodec

/** `bundle diff FILE [OLD]`: what FILE would change in OLD, or in the store's bundle if OLD is not given. */
internal class BundleDiffCommand(
    context: CommandContext,
) : StoreCommand(context, "diff", "Show what a bundle changes in another one or in the store's") {
    private val file by argument(ArgType.String, "file", description = "Bundle, signed or not")
    private val oldFile by
        argument(ArgType.String, "old", description = "Bundle to compare with; default: the store's").optional()

    override fun run(): Int {
        val new = InputFiles.anyBundle(context, file) ?: return ExitCode.BAD_INPUT
        val oldPath = oldFile ?: return compareWithStore(new)
        val old = InputFiles.anyBundle(context, oldPath) ?: return ExitCode.BAD_INPUT
        return show(old, new)
    }

    private fun compareWithStore(new: Bundle): Int {
        val target = storeTarget() ?: return ExitCode.BAD_INPUT
        val read = context.openStore(target.addresses).use { runBlocking { it.store.get(BundleAgent.STORE_KEY) } }
        if (read !is StoreResult.Ok) {
            context.err("store unreachable: $read")
            return ExitCode.UNREACHABLE
        }
        val signed = read.value?.let { SignedBundleCodec.decode(it.value) }
        val old = signed?.let { (BundleText.parse(it.payload) as? Validated.Valid)?.value }
        if (old != null) return show(old, new)
        context.err("the store holds no readable bundle")
        return ExitCode.FAILED
    }

    private fun show(
        old: Bundle,
        new: Bundle,
    ): Int {
        val lines = BundleDiff.lines(old, new)
        if (lines.isEmpty()) context.out("no difference") else lines.forEach(context.out)
        return ExitCode.SUCCESS
    }
}
