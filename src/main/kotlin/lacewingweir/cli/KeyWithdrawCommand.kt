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
 * `key withdraw`: withdraws a key permanently, through the store or, if the store does not answer, through the operator
 * port of an instance. The key itself can only be given in a file, because other users of the machine can see command
 * lines.
 */
internal class KeyWithdrawCommand(
    context: CommandContext,
) : StoreCommand(context, "withdraw", "Withdraw a key for good") {
    private val digestText by option(ArgType.String, "digest", description = "SHA-256 of the key, in hexadecimal")
    private val keyFile by option(ArgType.String, "key-file", description = "File that contains the key")
    private val operatorTexts by
        option(
            ArgType.String,
            "operator",
            description = "Operator port <IP>:<port> to use if the store is unreachable, may be repeated",
        ).multiple()

    override fun run(): Int {
        val digest = parseDigest() ?: return ExitCode.BAD_INPUT
        val operators = parseAddresses(operatorTexts) ?: return ExitCode.BAD_INPUT
        return if (!hasStoreOption && operators.isNotEmpty()) {
            withdrawThroughInstances(digest, operators)
        } else {
            withdrawThroughStore(digest, operators)
        }
    }

    private fun withdrawThroughStore(
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
            is KeyWriteResult.Unknown -> fallBackToInstances(result.reason, digest, operators, ExitCode.UNKNOWN)
            is KeyWriteResult.Unreachable -> fallBackToInstances(result.reason, digest, operators, ExitCode.UNREACHABLE)
        }
    }

    private fun parseDigest(): KeyDigest? {
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

    private fun fallBackToInstances(
        reason: String,
        digest: KeyDigest,
        operators: List<HostPort>,
        exitCodeWithoutOperators: Int,
    ): Int {
        context.err("the store did not confirm the withdrawal: $reason")
        if (operators.isNotEmpty()) return withdrawThroughInstances(digest, operators)
        context.err("name instances with --operator to withdraw without the store")
        return exitCodeWithoutOperators
    }

    /**
     * Calls the instances in turn until one reports the withdrawal. Withdrawals are idempotent, so the next instance is
     * called after any kind of failure.
     */
    private fun withdrawThroughInstances(
        digest: KeyDigest,
        operators: List<HostPort>,
    ): Int {
        val body = OperatorJson.encode(WithdrawalRequest.serializer(), WithdrawalRequest(digest.value))
        var outcomeUnknown = false
        for (address in operators) {
            val callResult = context.operators.call(address, "/keys/withdraw", body)
            val report =
                (callResult as? OperatorCallResult.Answered)
                    ?.takeIf { it.status == 200 }
                    ?.let { OperatorJson.decode(WithdrawalReport.serializer(), it.body) }
            if (report != null) return printReport(report)
            outcomeUnknown = outcomeUnknown || callResult !is OperatorCallResult.Unreachable
            context.err("$address: $callResult")
        }
        return if (outcomeUnknown) ExitCode.UNKNOWN else ExitCode.UNREACHABLE
    }

    private fun printReport(report: WithdrawalReport): Int {
        context.out("confirmed by: ${report.confirmed.joinToString()}")
        context.out(
            if (report.inStore) "the store holds the withdrawal" else "to be written to the store when it answers",
        )
        if (report.unconfirmed.isEmpty()) return ExitCode.SUCCESS
        context.err("not confirmed by: ${report.unconfirmed.joinToString()}; run the command again")
        return ExitCode.UNKNOWN
    }
}
