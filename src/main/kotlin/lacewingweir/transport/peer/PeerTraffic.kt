package lacewingweir.transport.peer

/**
 * Messages and bytes of one message type since the start, with length prefixes.
 *
 * [droppedMessages] counts messages that were not queued, because there was no connection, its queue was full or the
 * frame was too large.
 */
public data class PeerTraffic(
    val sentMessages: Long = 0,
    val sentBytes: Long = 0,
    val receivedMessages: Long = 0,
    val receivedBytes: Long = 0,
    val droppedMessages: Long = 0,
)
