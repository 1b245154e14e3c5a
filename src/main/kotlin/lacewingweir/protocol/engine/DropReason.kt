package lacewingweir.protocol.engine

/** Why an engine's answer was dropped. [label] is its name in metrics. */
public enum class DropReason(
    public val label: String,
) {
    /** The answer belongs to another request or names none. */
    REQUEST_ID("request_id"),

    /** The answer doesn't name the engine's incarnation. */
    INCARNATION("incarnation"),

    /** The answer comes from other weights than the bundle asks for. */
    WEIGHTS("weights"),

    /** A chunk was missing, repeated or out of order. */
    INDEX("index"),

    /** The answer is malformed, too long for its bounds or incomplete. */
    FORMAT("format"),

    /** The connection broke or was silent too long. */
    CUT("cut"),
}
