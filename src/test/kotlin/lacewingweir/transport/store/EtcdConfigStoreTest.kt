package lacewingweir.transport.store

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import lacewingweir.coordination.store.StoreResult
import lacewingweir.coordination.store.valueOrNull
import lacewingweir.protocol.etcd.EtcdBytes
import lacewingweir.protocol.etcd.EtcdJson
import lacewingweir.protocol.etcd.EtcdWatchCreate
import lacewingweir.protocol.etcd.EtcdWatchRequest
import lacewingweir.standin.platform.PlatformOutage
import lacewingweir.standin.platform.StandinPlatform
import lacewingweir.standin.platform.StandinPlatformFaults
import lacewingweir.standin.platform.StandinPlatformOptions
import lacewingweir.testing.eventually
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.ReadResult
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicLong

internal class EtcdConfigStoreTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val client = HttpClient(group)

    // The clock of leases and limits advances only in tests, so that a slow machine doesn't change the results.
    private val now = AtomicLong(1_000)
    private val platforms = mutableListOf<StandinPlatform>()

    @AfterEach
    fun tearDown() {
        client.close()
        platforms.forEach { it.close() }
        group.shutdownGracefully()
    }

    private fun platform(options: StandinPlatformOptions = StandinPlatformOptions()): StandinPlatform =
        StandinPlatform(options) { now.get() }.start().also { platforms.add(it) }

    private fun store(
        vararg ports: Int,
        timeoutMillis: Long = 2_000,
    ): EtcdConfigStore {
        val settings = EtcdStoreSettings(ports.map { StoreAddress("127.0.0.1", it) }, timeoutMillis)
        return EtcdConfigStore(client, settings)
    }

    @Test
    fun `values are written by compare-and-set and listed since a revision`() =
        runBlocking<Unit> {
            val store = store(platform().port)
            expectThat(store.compareAndSet("/lw/a", 0, "1".toByteArray())).isEqualTo(StoreResult.Ok(true))
            expectThat(store.compareAndSet("/lw/a", 0, "2".toByteArray())).isEqualTo(StoreResult.Ok(false))
            val first = store.get("/lw/a").valueOrNull()
            expectThat(first).isNotNull().get { value.decodeToString() }.isEqualTo("1")
            val listing = store.list("/lw/").valueOrNull()!!
            store.compareAndSet("/lw/b", 0, byteArrayOf())
            store.compareAndSet("/other", 0, byteArrayOf())
            val changed = store.list("/lw/", listing.revision).valueOrNull()!!
            expectThat(changed.entries.map { it.key }).isEqualTo(listOf("/lw/b"))
            expectThat(changed.revision).isGreaterThan(changed.entries.single().modRevision)
            expectThat(store.get("/none")).isEqualTo(StoreResult.Ok(null))
        }

    // Guards against treating a write as not applied because its response was lost.
    @Test
    fun `a write whose response is lost is unknown and has been applied`() =
        runBlocking<Unit> {
            val platform = platform()
            val store = store(platform.port)
            platform.setFaults(StandinPlatformFaults(loseResponsesAfterEffect = 1.0))
            expectThat(store.compareAndSet("/lw/a", 0, "1".toByteArray())).isA<StoreResult.Unknown>()
            expectThat(store.get("/lw/a")).isA<StoreResult.Unavailable>()
            platform.setFaults(StandinPlatformFaults())
            expectThat(store.get("/lw/a").valueOrNull()).isNotNull()
        }

    // Guards against reporting a refused connection as unknown, and against calls that exceed their timeout.
    @Test
    fun `a refused connection is unavailable and a hanging write is unknown after the timeout`() =
        runBlocking<Unit> {
            val platform = platform()
            val store = store(platform.port)
            platform.setFaults(StandinPlatformFaults(down = PlatformOutage.REFUSE))
            expectThat(store.compareAndSet("/lw/a", 0, byteArrayOf())).isA<StoreResult.Unavailable>()
            platform.setFaults(StandinPlatformFaults(down = PlatformOutage.HANG))
            val shortTimeoutStore = store(platform.port, timeoutMillis = 400)
            val started = System.nanoTime()
            expectThat(shortTimeoutStore.compareAndSet("/lw/a", 0, byteArrayOf())).isA<StoreResult.Unknown>()
            expectThat((System.nanoTime() - started) / 1_000_000).isLessThan(800)
            platform.setFaults(StandinPlatformFaults())
            expectThat(store.get("/lw/a")).isEqualTo(StoreResult.Ok(null))
        }

    // Guards against reporting the store as unavailable when only one of its addresses has failed.
    @Test
    fun `a call is retried at another address after a refused connection or a timeout`() =
        runBlocking<Unit> {
            val closedPort = ServerSocket(0).use { it.localPort }
            val hanging = platform().also { it.setFaults(StandinPlatformFaults(down = PlatformOutage.HANG)) }
            val live = platform()
            val store = store(closedPort, live.port)
            expectThat(store.compareAndSet("/lw/a", 0, byteArrayOf())).isEqualTo(StoreResult.Ok(true))
            expectThat(store(hanging.port, live.port).get("/lw/a").valueOrNull()).isNotNull()
        }

    // Guards against treating a call that was rejected by the platform's rate limit as possibly applied.
    @Test
    fun `a write above the rate limit or the value size is unavailable`() =
        runBlocking<Unit> {
            val platform = platform(StandinPlatformOptions(writesPerSecond = 3))
            val store = store(platform.port)
            val results = (1..8).map { store.compareAndSet("/lw/$it", 0, byteArrayOf()) }
            expectThat(results.take(3).toSet()).isEqualTo(setOf(StoreResult.Ok(true)))
            for (result in results.drop(3)) expectThat(result).isA<StoreResult.Unavailable>()
            expectThat(store.get("/lw/8")).isEqualTo(StoreResult.Ok(null))
            expectThat(platform.stats().overLimit).isEqualTo(5)
            expectThat(store.compareAndSet("/big", 0, ByteArray(1_000_001))).isA<StoreResult.Unavailable>()
        }

    @Test
    fun `a key is deleted when its lease expires`() =
        runBlocking<Unit> {
            val store = store(platform().port)
            val lease = store.grantLease(1).valueOrNull()!!
            expectThat(store.compareAndSet("/claims/a", 0, byteArrayOf(), lease)).isEqualTo(StoreResult.Ok(true))
            expectThat(store.compareAndSet("/claims/b", 0, byteArrayOf(), lease + 1)).isA<StoreResult.Unavailable>()
            expectThat(store.get("/claims/a").valueOrNull()).isNotNull()
            now.addAndGet(1_000)
            expectThat(store.get("/claims/a")).isEqualTo(StoreResult.Ok(null))
        }

    // Guards against a stand-in whose watches send events despite the stall fault or do not count as reads.
    @Test
    fun `a watch streams events, stalls while the fault is set and counts as reads`() =
        runBlocking<Unit> {
            val platform = platform()
            val create = EtcdWatchCreate(EtcdBytes.of("/lw/"), EtcdBytes.prefixEnd("/lw/"))
            val body = EtcdJson.encodeToString(EtcdWatchRequest.serializer(), EtcdWatchRequest(create))
            val request = ClientRequest("127.0.0.1", platform.port, "POST", "/v3/watch", body = body.toByteArray())
            val response = (client.open(request) as ClientResult.Answered).response
            expectThat(text(response.read())).contains("\"created\":true")
            platform.put("/lw/a", "x".toByteArray())
            expectThat(text(response.read())).contains(EtcdBytes.of("/lw/a").base64)
            platform.setFaults(StandinPlatformFaults(stallWatches = true))
            platform.put("/lw/b", "x".toByteArray())
            now.addAndGet(1_000)
            eventually("the watch counts as a read") { platform.stats().reads == 2L }
            val pendingEvent = async { text(response.read()) }
            delay(100)
            expectThat(pendingEvent.isActive).isTrue()
            platform.setFaults(StandinPlatformFaults())
            expectThat(pendingEvent.await()).contains(EtcdBytes.of("/lw/b").base64)
            response.close()
        }

    private fun text(part: ReadResult): String = (part as ReadResult.Data).bytes.decodeToString()
}
