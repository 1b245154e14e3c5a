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

/** Bytes and processor time of store polls, unchanged and of everything, by number of instance records. */
internal fun main() {
    val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    val client = HttpClient(group)
    println("records  poll unchanged: bytes  us (client and stand-in)  whole read: bytes  us")
    // The first size is measured twice, because its first run still includes compilation.
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
    val counted = CountingRelay(platform.port)
    val direct = EtcdConfigStore(client, EtcdStoreSettings(listOf(StoreAddress("127.0.0.1", platform.port)), 5_000))
    val relayed = EtcdConfigStore(client, EtcdStoreSettings(listOf(StoreAddress("127.0.0.1", counted.port)), 5_000))
    repeat(records) { index ->
        val value =
            """{"name":"entry-%04d","incarnation":"7b0d5a0e-5a34-4c0e-9c5e-3a5b3b1f%04d","host":"10.1.1.51","""
                .format(index, index) +
                """"peerPort":8082,"operatorPort":8081,"failureDomain":"domain-${index % 10}"}"""
        check(direct.compareAndSet("/lw/instances/entry-%04d".format(index), 0, value.toByteArray()).valueOrNull()!!)
    }
    val revision = direct.list("/lw/").valueOrNull()!!.revision

    suspend fun unchanged(store: EtcdConfigStore) =
        check(
            store
                .list("/lw/", revision)
                .valueOrNull()!!
                .entries
                .isEmpty(),
        )

    suspend fun whole(store: EtcdConfigStore) =
        check(
            store
                .list("/lw/", 0)
                .valueOrNull()!!
                .entries.size == records,
        )
    unchanged(relayed)
    val unchangedBytes = counted.during { repeat(10) { unchanged(relayed) } } / 10
    val wholeBytes = counted.during { repeat(10) { whole(relayed) } } / 10
    val unchangedMicros = processMicros { unchanged(direct) }
    val wholeMicros = processMicros { whole(direct) }
    println("%7d %22d %24.0f %18d %8.0f".format(records, unchangedBytes, unchangedMicros, wholeBytes, wholeMicros))
}

private suspend fun processMicros(call: suspend () -> Unit): Double {
    val warm = System.nanoTime() + 4_000_000_000
    while (System.nanoTime() < warm) call()
    val before = Measure.processCpuNanos()
    val end = System.nanoTime() + 2_000_000_000
    var calls = 0
    while (System.nanoTime() < end) {
        call()
        calls++
    }
    return (Measure.processCpuNanos() - before) / 1_000.0 / calls
}

/** Relays connections to [target] and counts the bytes of both directions. */
private class CountingRelay(
    private val target: Int,
) {
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val bytes = AtomicLong()
    val port: Int get() = server.localPort

    init {
        thread(isDaemon = true) {
            while (true) {
                val client = server.accept()
                val upstream = Socket("127.0.0.1", target)
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

    suspend fun during(work: suspend () -> Unit): Long {
        val before = bytes.get()
        work()
        return bytes.get() - before
    }
}
