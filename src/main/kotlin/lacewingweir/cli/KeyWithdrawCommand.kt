package lacewingweir.cli

import kotlinx.cli.ArgType
import kotlinx.cli.multiple
import kotlinx.coroutines.runBlocking
import lacewingweir.cli.io.CommandContext
import lacewingweir.cli.io.InputFiles
import lacewingweir.cli.io.OperatorCallResult
import lacewingweir.cli.operations.KeyWriteResult
import lacewingweir.cli.operations.KeyWriter
import lacewingweir.protocol.operator.OperatorJson
import lacewingweir.protocol.operator.WithdrawalReport
import lacewingweir.protocol.operator.WithdrawalRequest
import lacewingweir.protocol.settings.HostPort
import lacewingweir.state.id.KeyDigest

/**
 * `key withdraw`: withdraws a key for good, through the store or, when the store does not answer, through the operator
 * port of an instance. The key itself is read from a file only, because other users see command lines.
 */
internal class KeyWithdrawCommand(
    context: CommandContext,
) : StoreCommand(context, "withdraw", "Withdraw a key for good") {
    private val digestText by option(ArgType.String, "digest", description = "SHA-256 of the key, in hexadecimal")
    private val keyFile by option(ArgType.String, "key-file", description = "File that holds the key")
    private val operatorTexts by
        option(
            ArgType.String,
            "operator",
            description = "Operator port <IP>:<port> for when the store is out, repeatable",
        ).multiple()

    override fun run(): Int {
        val digest = digest() ?: return ExitCode.BAD_INPUT
        val operators = addresses(operatorTexts) ?: return ExitCode.BAD_INPUT
        return if (!namesStore && operators.isNotEmpty()) {
            throughInstances(digest, operators)
        } else {
            throughStore(digest, operators)
        }
    }

    private fun throughStore(
        digest: KeyDigest,
        operators: List<HostPort>,
    ): Int {
        val target = storeTarget() ?: return ExitCode.BAD_INPUT
        val result =
            context.openStore(target.addresses).use { runBlocking { KeyWriter(it.store).withdraw(digest) } }
        return when (result) {
            KeyWriteResult.Written, KeyWriteResult.AlreadyWithdrawn -> {
                context.out("withdrawn in the store: $digest")
                ExitCode.SUCCESS
            }
            is KeyWriteResult.Unknown -> withoutStore(result.reason, digest, operators, ExitCode.UNKNOWN)
            is KeyWriteResult.Unreachable -> withoutStore(result.reason, digest, operators, ExitCode.UNREACHABLE)
        }
    }

    private fun digest(): KeyDigest? {
        val text = digestText
        val file = keyFile
        val key = file?.let { InputFiles.readOrNull(it)?.trim() }
        val digest =
            when {
                text != null && file == null -> text.lowercase().takeIf { Regex("[0-9a-f]{64}").matches(it) }
                text == null && !key.isNullOrEmpty() -> KeyWriter.digestOf(key).value
                else -> null
            }
        if (digest ==
            null
        ) {
            context.err("give either --digest with 64 hexadecimal digits or --key-file with a readable file")
        }
        return digest?.let(::KeyDigest)
    }

    private fun withoutStore(
        reason: String,
        digest: KeyDigest,
        operators: List<HostPort>,
        codeWithoutOperators: Int,
    ): Int {
        context.err("the store did not take the withdrawal: $reason")
        if (operators.isNotEmpty()) return throughInstances(digest, operators)
        context.err("name instances with --operator to withdraw without the store")
        return codeWithoutOperators
    }

    /** A withdrawal may be repeated, so the next instance is asked whatever became of the call before. */
    private fun throughInstances(
        digest: KeyDigest,
        operators: List<HostPort>,
    ): Int {
        val body = OperatorJson.encode(WithdrawalRequest.serializer(), WithdrawalRequest(digest.value))
        var unknown = false
        for (address in operators) {
            val answer = context.operators.call(address, "/keys/withdraw", body)
            val report =
                (answer as? OperatorCallResult.Answered)
                    ?.takeIf { it.status == 200 }
                    ?.let { OperatorJson.decode(WithdrawalReport.serializer(), it.body) }
            if (report != null) return show(report)
            unknown = unknown || answer !is OperatorCallResult.Unreachable
            context.err("$address: $answer")
        }
        return if (unknown) ExitCode.UNKNOWN else ExitCode.UNREACHABLE
    }

    private fun show(report: WithdrawalReport): Int {
        context.out("confirmed by: ${report.confirmed.joinToString()}")
        context.out(
            if (report.inStore) "the store holds the withdrawal" else "to be written to the store when it answers",
        )
        if (report.unconfirmed.isEmpty()) return ExitCode.SUCCESS
        context.err("not confirmed by: ${report.unconfirmed.joinToString()}; run the command again")
        return ExitCode.UNKNOWN
    }
}
