package lacewingweir.benchmark

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.runBlocking
import lacewingweir.coordination.store.valueOrNull
import lacewingweir.standin.platform.StandinPlatform
import lacewingweir.standin.platform.StandinPlatformOptions
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.store.EtcdConfigStore
import lacewingweir.transport.store.EtcdStoreSettings
import lacewingweir.transport.store.StoreAddress
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** Measures the bytes and processor time of store polls without changes and of full reads, by number of records. */
internal fun main() {
    val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    val client = HttpClient(group)
    println("records  poll unchanged: bytes  us (client and stand-in)  whole read: bytes  us")
    // The first size is measured twice, because its first run includes JIT compilation.
    for (records in listOf(8, 8, 64, 330)) {
        StandinPlatform(StandinPlatformOptions(writesPerSecond = 1_000_000, readsPerSecond = 1_000_000))
            .start()
            .use { platform -> runBlocking { measure(platform, client, records) } }
    }
    client.close()
    group.shutdownGracefully()
    System.exit(0)
}

private suspend fun measure(
    platform: StandinPlatform,
    client: HttpClient,
    records: Int,
) {
    val proxy = CountingProxy(platform.port)
    val direct = EtcdConfigStore(client, EtcdStoreSettings(listOf(StoreAddress("127.0.0.1", platform.port)), 5_000))
    val proxied = EtcdConfigStore(client, EtcdStoreSettings(listOf(StoreAddress("127.0.0.1", proxy.port)), 5_000))
    repeat(records) { index ->
        val value =
            """{"name":"entry-%04d","incarnation":"7b0d5a0e-5a34-4c0e-9c5e-3a5b3b1f%04d","host":"10.1.1.51","""
                .format(index, index) +
                """"peerPort":8082,"operatorPort":8081,"failureDomain":"domain-${index % 10}"}"""
        check(direct.compareAndSet("/lw/instances/entry-%04d".format(index), 0, value.toByteArray()).valueOrNull()!!)
    }
    val revision = direct.list("/lw/").valueOrNull()!!.revision

    suspend fun pollUnchanged(store: EtcdConfigStore) =
        check(
            store
                .list("/lw/", revision)
                .valueOrNull()!!
                .entries
                .isEmpty(),
        )

    suspend fun readAll(store: EtcdConfigStore) =
        check(
            store
                .list("/lw/", 0)
                .valueOrNull()!!
                .entries.size == records,
        )
    pollUnchanged(proxied)
    val unchangedBytes = proxy.bytesDuring { repeat(10) { pollUnchanged(proxied) } } / 10
    val fullReadBytes = proxy.bytesDuring { repeat(10) { readAll(proxied) } } / 10
    val unchangedMicros = processMicros { pollUnchanged(direct) }
    val fullReadMicros = processMicros { readAll(direct) }
    println(
        "%7d %22d %24.0f %18d %8.0f".format(records, unchangedBytes, unchangedMicros, fullReadBytes, fullReadMicros),
    )
}

/** Returns the processor time of the process for one [call] in microseconds, averaged over 2 s after 4 s of warm-up. */
private suspend fun processMicros(call: suspend () -> Unit): Double {
    val warmUpEnd = System.nanoTime() + 4_000_000_000
    while (System.nanoTime() < warmUpEnd) call()
    val startNanos = Measure.processCpuNanos()
    val end = System.nanoTime() + 2_000_000_000
    var calls = 0
    while (System.nanoTime() < end) {
        call()
        calls++
    }
    return (Measure.processCpuNanos() - startNanos) / 1_000.0 / calls
}

/** Forwards connections to the loopback port [targetPort] and counts the bytes of both directions. */
private class CountingProxy(
    private val targetPort: Int,
) {
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val bytes = AtomicLong()
    val port: Int get() = server.localPort

    init {
        thread(isDaemon = true) {
            while (true) {
                val client = server.accept()
                val upstream = Socket("127.0.0.1", targetPort)
                copy(client.getInputStream(), upstream.getOutputStream())
                copy(upstream.getInputStream(), client.getOutputStream())
            }
        }
    }

    private fun copy(
        from: InputStream,
        to: OutputStream,
    ) = thread(isDaemon = true) {
        val buffer = ByteArray(64 * 1024)
        while (true) {
            val count = from.read(buffer)
            if (count < 0) break
            bytes.addAndGet(count.toLong())
            to.write(buffer, 0, count)
            to.flush()
        }
    }

    /** Returns the number of bytes forwarded during [work]. */
    suspend fun bytesDuring(work: suspend () -> Unit): Long {
        val before = bytes.get()
        work()
        return bytes.get() - before
    }
}
