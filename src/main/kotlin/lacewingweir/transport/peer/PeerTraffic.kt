package lacewingweir.transport.peer

/**
 * The number and the size of the messages of a type since the start. Sizes include the length prefixes.
 *
 * @property droppedMessages the number of messages that were not queued, because there was no connection, the queue was
 *   full or the frame was too large
 */
public data class PeerTraffic(
    val sentMessages: Long = 0,
    val sentBytes: Long = 0,
    val receivedMessages: Long = 0,
    val receivedBytes: Long = 0,
    val droppedMessages: Long = 0,
)
