package lacewingweir.transport.http

import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.socket.DuplexChannel
import java.util.concurrent.TimeUnit

/**
 * Ends a connection behind its last response: sends the end of the output, and closes the connection once the client
 * has closed it, or after [lingerMillis].
 *
 * If input arrives after a close, the operating system resets the connection and drops what the client has not received
 * yet. A client may send its next request before it has read that the connection ends.
 */
internal class LingeringClose private constructor(
    private val lingerMillis: Long,
) : ChannelFutureListener {
    override fun operationComplete(future: ChannelFuture) {
        val channel = future.channel()
        if (!future.isSuccess || channel !is DuplexChannel) {
            channel.close()
            return
        }
        val timeout = channel.eventLoop().schedule({ channel.close() }, lingerMillis, TimeUnit.MILLISECONDS)
        channel.closeFuture().addListener { timeout.cancel(false) }
        channel.shutdownOutput()
    }

    internal companion object {
        val BEHIND_REQUEST = LingeringClose(lingerMillis = 1_000)

        /** For clients that read the response only after they have sent the rest of their request. */
        val DURING_REQUEST = LingeringClose(lingerMillis = 10_000)
    }
}
