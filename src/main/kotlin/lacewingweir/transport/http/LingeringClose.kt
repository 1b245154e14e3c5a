package lacewingweir.transport.http

import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.socket.DuplexChannel
import java.util.concurrent.TimeUnit

/**
 * Ends a connection behind its last response: sends the end of the output, and closes the connection once the client
 * has closed it, or after [LINGER_MILLIS].
 *
 * If input arrives after a close, the operating system resets the connection and drops what the client has not received
 * yet. A client may send its next request before it has read that the connection ends.
 */
internal object LingeringClose : ChannelFutureListener {
    private const val LINGER_MILLIS: Long = 1_000

    override fun operationComplete(future: ChannelFuture) {
        val channel = future.channel()
        if (!future.isSuccess || channel !is DuplexChannel) {
            channel.close()
            return
        }
        val timeout = channel.eventLoop().schedule({ channel.close() }, LINGER_MILLIS, TimeUnit.MILLISECONDS)
        channel.closeFuture().addListener { timeout.cancel(false) }
        channel.shutdownOutput()
    }
}
