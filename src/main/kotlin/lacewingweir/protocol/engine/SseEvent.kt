package lacewingweir.protocol.engine

/** One server-sent event with data. [id] and [event] are null if the event has no such field. */
public data class SseEvent(
    val id: String?,
    val event: String?,
    val data: String,
)
