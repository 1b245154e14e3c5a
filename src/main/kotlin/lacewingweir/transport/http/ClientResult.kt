package lacewingweir.transport.http

/** The outcome of sending a [ClientRequest]. */
public sealed interface ClientResult {
    /** The head of a response arrived. The caller must read the body to its end or close the response. */
    public class Answered(
        public val response: ClientResponse,
    ) : ClientResult

    /** No byte of the request was written to a connection, so the server has certainly not executed it. */
    public data class NotSent(
        val reason: String,
    ) : ClientResult

    /**
     * At least a part of the request was written, but no response arrived. The server may have executed it.
     *
     * @property timedOut whether the connection was given up because no response arrived in time, instead of lost
     */
    public data class Unknown(
        val reason: String,
        val timedOut: Boolean = false,
    ) : ClientResult
}
