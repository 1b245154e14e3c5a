package lacewingweir.cli

import kotlinx.cli.ArgType
import kotlinx.coroutines.runBlocking
import lacewingweir.cli.io.CommandContext
import lacewingweir.cli.operations.KeyWriteResult
import lacewingweir.cli.operations.KeyWriter
import lacewingweir.coordination.bundle.BundleAgent
import lacewingweir.coordination.store.ConfigStore
import lacewingweir.coordination.store.valueOrNull
import lacewingweir.protocol.bundle.BundleText
import lacewingweir.protocol.json.Validated
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.SignedBundleCodec
import lacewingweir.state.id.CustomerId

/** `key grant CUSTOMER`: generates a key, stores its digest and prints the key once. */
internal class KeyGrantCommand(
    context: CommandContext,
) : StoreCommand(context, "grant", "Make a new key of a customer and print it once") {
    private val customer by argument(ArgType.String, "customer", description = "Customer id")

    override fun run(): Int {
        val target = storeTarget() ?: return ExitCode.BAD_INPUT
        return context.openStore(target.addresses).use { runBlocking { grant(it.store) } }
    }

    private suspend fun grant(store: ConfigStore): Int {
        val bundle = currentBundle(store)
        if (bundle != null && bundle.customer(CustomerId(customer)) == null) {
            context.err("$customer: not a customer of bundle ${bundle.number} in the store")
            return ExitCode.BAD_INPUT
        }
        val key = KeyWriter.newKey()
        val digest = KeyWriter.digestOf(key)
        return when (val result = KeyWriter(store).grant(digest, CustomerId(customer))) {
            KeyWriteResult.Written -> {
                context.out(key)
                context.err("granted to $customer; digest $digest. The key is not shown again.")
                ExitCode.SUCCESS
            }
            KeyWriteResult.AlreadyWithdrawn -> failed("the digest is already withdrawn", ExitCode.FAILED)
            is KeyWriteResult.Unknown ->
                failed("outcome unknown: ${result.reason}; withdraw digest $digest and try again", ExitCode.UNKNOWN)
            is KeyWriteResult.Unreachable -> failed("store unreachable: ${result.reason}", ExitCode.UNREACHABLE)
        }
    }

    private suspend fun currentBundle(store: ConfigStore): Bundle? {
        val entry = store.get(BundleAgent.STORE_KEY).valueOrNull() ?: return null
        val signed = SignedBundleCodec.decode(entry.value) ?: return null
        return (BundleText.parse(signed.payload) as? Validated.Valid)?.value
    }

    private fun failed(
        text: String,
        code: Int,
    ): Int {
        context.err(text)
        return code
    }
}
