package lacewingweir.state.id

import java.nio.ByteBuffer
import java.security.MessageDigest

/** Identifies a stream by a digest of the id of the call that brought its first event, which may be longer. */
@JvmInline
internal value class StreamTag(
    val value: Long,
) {
    companion object {
        /** Returns the tag of the stream begun by [call]. It is the same in all instances. */
        fun of(call: RequestId): StreamTag {
            val digest = MessageDigest.getInstance("SHA-256").digest(call.value.encodeToByteArray())
            return StreamTag(ByteBuffer.wrap(digest).getLong())
        }
    }
}
