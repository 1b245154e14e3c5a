package lacewingweir.transport.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultHttpContent
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit

/**
 * Writes one response to its connection as fast as the client reads, independently of the handler of the request.
 *
 * What the connection can't take up yet waits here and is counted in [held]. The response is ended if the client reads
 * nothing for [stallMillis]. Bodies are written in slices of [SLICE_BYTES], each of which counts as progress: the time
 * that a client needs for the whole response is not limited.
 *
 * Parts are added on any thread; all else happens on the event loop of the connection. [onProgress] is called when a
 * part was taken up.
 */
internal class ResponseOutput(
    private val ctx: ChannelHandlerContext,
    private val stallMillis: Long,
    private val held: HeldBytes.Response,
    private val onProgress: () -> Unit,
) {
    private class Part(
        val message: Any,
        val bytes: Int,
        val onWritten: ChannelFutureListener?,
    )

    private val waiting = ConcurrentLinkedQueue<Part>()

    /** To be called when all parts are with the connection, so that the next response can follow. */
    private var onDrained: (() -> Unit)? = null
    private var pumping = false
    private var watching = false

    /** Whether a part has not been taken up yet by the network. */
    val isDelivering: Boolean
        get() = waiting.isNotEmpty() || held.bytes > 0

    /** Adds [message] with a body of [bytes], to be written with the next [flush]. Calls [onWritten] after that. */
    fun enqueue(
        message: Any,
        bytes: Int = 0,
        onWritten: ChannelFutureListener? = null,
    ) {
        held.add(bytes)
        waiting.add(Part(message, bytes, onWritten))
    }

    /** Adds a part of a body, to be written with the next [flush]. */
    fun enqueueBody(body: ByteArray) {
        for (from in body.indices step SLICE_BYTES) {
            val size = minOf(SLICE_BYTES, body.size - from)
            enqueue(DefaultHttpContent(Unpooled.wrappedBuffer(body, from, size)), size)
        }
    }

    /** Writes what was added, as far as the client reads. */
    fun flush() {
        if (ctx.executor().inEventLoop()) pump() else ctx.executor().execute(::pump)
    }

    /** Writes waiting parts while the connection takes them up. */
    fun pump() {
        if (pumping) return
        if (!ctx.channel().isActive) {
            release()
            return
        }
        pumping = true
        while (waiting.isNotEmpty() && ctx.channel().isWritable) {
            while (ctx.channel().isWritable) write(waiting.poll() ?: break)
            ctx.flush()
        }
        pumping = false
        if (held.bytes > 0) watch()
        reportIfDrained()
    }

    private fun write(part: Part) {
        val future = ctx.write(part.message)
        future.addListener {
            held.read(part.bytes)
            onProgress()
        }
        part.onWritten?.let(future::addListener)
    }

    private fun watch() {
        if (watching) return
        watching = true
        val millis = (stallMillis - held.unreadMillis).coerceAtLeast(1)
        ctx.executor().schedule(::checkProgress, millis, TimeUnit.MILLISECONDS)
    }

    private fun checkProgress() {
        watching = false
        if (!ctx.channel().isActive || held.bytes == 0L) return
        if (held.unreadMillis >= stallMillis) held.end() else watch()
    }

    /** Calls [action] on the event loop as soon as no parts wait here. */
    fun whenDrained(action: () -> Unit) {
        onDrained = action
        reportIfDrained()
    }

    private fun reportIfDrained() {
        if (waiting.isEmpty()) onDrained.also { onDrained = null }?.invoke()
    }

    /** Closes the connection behind the parts that were added. */
    fun closeBehind() {
        enqueue(Unpooled.EMPTY_BUFFER, onWritten = ChannelFutureListener.CLOSE)
        flush()
    }

    /** Drops the parts that wait, because the connection is closed. */
    fun release() {
        waiting.clear()
        held.release()
        onProgress()
        reportIfDrained()
    }

    internal companion object {
        /** At most a quarter of the output buffer of a connection, so that progress shows early. */
        const val SLICE_BYTES: Int = 16 * 1024
    }
}
