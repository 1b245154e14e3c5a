package lacewingweir.transport.relay

import lacewingweir.state.fleet.Prompt
import lacewingweir.state.id.KeyDigest
import lacewingweir.state.id.RequestId

/**
 * A caller's request, decoded from whatever protocol the front speaks.
 *
 * [target] is the path with its query as received, [path] without it. [headers] are those that go on to the endpoint
 * unchanged. [deadlineMillis] is how long the caller waits from [arrivedAtMillis] on; null if it does not say.
 * [resumeAfter] is the id of the last event that the caller already has.
 */
internal class InboundCall(
    val id: RequestId,
    val method: String,
    val host: String,
    val target: String,
    val path: String,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
    val key: KeyDigest?,
    val deadlineMillis: Long?,
    val prompt: Prompt?,
    val resumeAfter: String?,
    val arrivedAtMillis: Long,
)
