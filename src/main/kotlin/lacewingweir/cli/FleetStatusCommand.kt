package lacewingweir.cli

import lacewingweir.cli.io.CommandContext

/** `fleet status`: prints the view that one instance has of all live instances. */
internal class FleetStatusCommand(
    context: CommandContext,
) : FleetCommand(context, "status", "Show the live instances and what is degraded") {
    override fun run(): Int {
        val operators = operatorAddresses() ?: return ExitCode.BAD_INPUT
        val report = firstReport(operators) ?: return ExitCode.UNREACHABLE
        val self = report.instance
        val state = if (self.unreadyReasons.isEmpty()) "ready" else "not ready: ${self.unreadyReasons.joinToString()}"
        context.out(
            "${self.name} (${self.failureDomain}) bundle ${self.bundle} epoch ${self.epoch} $state, answers this",
        )
        for (peer in report.peers) {
            val peerState = if (peer.ready) "ready" else "not ready"
            context.out(
                "${peer.name} (${peer.failureDomain}) bundle ${peer.bundle} epoch ${peer.epoch} $peerState, " +
                    "operator port ${peer.host}:${peer.operatorPort}, heard of ${peer.heartbeatAgeMillis} ms ago",
            )
        }
        report.refusedBundles.forEach {
            context.out(
                "refused bundle ${it.operationId} from ${it.source}: ${it.reason}",
            )
        }
        report.degraded.forEach { context.out("degraded: $it") }
        return ExitCode.SUCCESS
    }
}
