package lacewingweir.protocol.engine

/** Reason why an engine's response was dropped. [label] is its value in metrics. */
public enum class DropReason(
    public val label: String,
) {
    /** The response names another request or none. */
    REQUEST_ID("request_id"),

    /** The response names no valid incarnation of the engine. */
    INCARNATION("incarnation"),

    /** The response comes from other weights than the bundle specifies. */
    WEIGHTS("weights"),

    /** A chunk was missing, repeated or out of order. */
    INDEX("index"),

    /** The response is malformed, incomplete, or exceeds a size limit. */
    FORMAT("format"),

    /** The connection failed or was idle for too long, or the engine reported an error. */
    CUT("cut"),
}
