package lacewingweir.transport.http

/**
 * How a connection has been used when a request is sent on it.
 *
 * @property requests the number of requests that it has carried before
 * @property ageMillis the time since it was opened, in milliseconds
 */
public data class ConnectionUse(
    public val requests: Int,
    public val ageMillis: Long,
) {
    /** Short, so that a log line that is cut off still shows what follows. */
    override fun toString(): String = "carried=$requests ageMs=$ageMillis"
}
