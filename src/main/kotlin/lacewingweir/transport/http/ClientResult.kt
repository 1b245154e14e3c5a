package lacewingweir.transport.http

/** Outcome of sending a [ClientRequest]. */
public sealed interface ClientResult {
    /** The head of an answer arrived. The caller must read the body to its end or close the response. */
    public class Answered(
        public val response: ClientResponse,
    ) : ClientResult

    /** No byte of the request was handed to a connection, so the peer certainly did not run it. */
    public data class NotSent(
        val reason: String,
    ) : ClientResult

    /** The request was handed to a connection, at least in part, and no answer came: the peer may have run it. */
    public data class Unknown(
        val reason: String,
    ) : ClientResult
}
