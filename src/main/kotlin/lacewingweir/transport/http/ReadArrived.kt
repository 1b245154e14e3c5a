package lacewingweir.transport.http

import io.netty.channel.Channel
import io.netty.channel.nio.AbstractNioChannel

/**
 * Reads and handles what the system has received for this channel: input or its end, or connections of a listener. Has
 * to be called on the event loop of the channel.
 *
 * An event loop that gets no processor time between selecting its channels and running its tasks knows nothing of what
 * has arrived meanwhile. A task that closes or reuses a channel has to call this first.
 */
internal fun Channel.readArrived() = (unsafe() as AbstractNioChannel.NioUnsafe).read()
