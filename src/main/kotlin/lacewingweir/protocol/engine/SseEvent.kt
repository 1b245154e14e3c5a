package lacewingweir.protocol.engine

/** A server-sent event that has data. [id] and [event] are null if the event lacks the field. */
public data class SseEvent(
    val id: String?,
    val event: String?,
    val data: String,
)
