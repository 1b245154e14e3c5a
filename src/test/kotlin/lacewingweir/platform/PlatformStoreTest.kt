package lacewingweir.platform

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import lacewingweir.coordination.store.CommitResult
import lacewingweir.coordination.store.StoreRange
import lacewingweir.coordination.store.StoreResult
import lacewingweir.coordination.store.StoreTransaction
import lacewingweir.coordination.store.WatchResult
import lacewingweir.protocol.settings.HostPort
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.HttpServer
import lacewingweir.transport.http.ServerExchange
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.util.Base64

internal class PlatformStoreTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val http = HttpClient(group)
    private val servers = ArrayList<HttpServer>()

    @AfterEach
    fun tearDown() {
        servers.forEach { it.close() }
        http.close()
        scope.cancel()
        group.shutdownGracefully()
    }

    private fun storeThat(respond: suspend (ServerExchange) -> Unit): PlatformStore {
        val server = HttpServer(group, scope, "127.0.0.1", 0) { respond(it) }.start()
        servers += server
        return PlatformStore(http, HostPort("127.0.0.1", server.port))
    }

    /** Guards against an instance behind a small link that never receives a large configuration. */
    @Test
    fun `a large item that arrives slowly is read`(): Unit =
        runBlocking {
            val value = Base64.getEncoder().encodeToString(ByteArray(CONFIG_BYTES))
            val page = """{"items":[{"key":"op/config","value":"$value","revision":7}],"storeRevision":7}"""
            val store =
                storeThat { exchange ->
                    exchange.startStream(200)
                    for (part in page.encodeToByteArray().asList().chunked(page.length / 20)) {
                        exchange.write(part.toByteArray())
                        delay(100)
                    }
                    exchange.finish()
                }
            val range = store.range("")
            expectThat(range).isA<StoreResult.Ok<StoreRange>>()
            expectThat(
                (range as StoreResult.Ok)
                    .value.items
                    .single()
                    .value.size,
            ).isEqualTo(CONFIG_BYTES)
        }

    /** Guards against a configuration that stays unknown because it came with too many others. */
    @Test
    fun `changes that are too large together are reported as unreadable`(): Unit =
        runBlocking {
            val store =
                storeThat { exchange ->
                    exchange.startStream(200)
                    repeat(6) { exchange.write(ByteArray(CONFIG_BYTES) { ' '.code.toByte() }) }
                    exchange.finish()
                }
            expectThat(store.watch("", 1, 500)).isA<WatchResult.Unreadable>()
        }

    private suspend fun ServerExchange.respondInEra(
        era: Int,
        body: String,
    ) = respond(200, listOf("Store-Era" to "$era"), body.encodeToByteArray())

    private fun page(revision: Int) =
        """{"items":[{"key":"k","value":"","revision":$revision}],"storeRevision":$revision}"""

    /** Guards against a watch that passes for current although the store was restored from an older copy. */
    @Test
    fun `a watch from before the store was restored has to list again`(): Unit =
        runBlocking {
            var era = 1
            val store =
                storeThat {
                    it.respondInEra(era, if ("watch" in it.path) """{"events":[],"storeRevision":9}""" else page(9))
                }
            val revision = (store.range("") as StoreResult.Ok).value.revision
            expectThat(store.watch("", revision, 100)).isA<WatchResult.Changes>()
            era = 2
            expectThat(store.watch("", revision, 100)).isEqualTo(WatchResult.HistoryGone)
        }

    /** Guards against changes that are ignored because a restored store gives revisions out again. */
    @Test
    fun `revisions after the store was restored are greater than those before`(): Unit =
        runBlocking {
            var era = 1
            val store = storeThat { it.respondInEra(era, page(if (era == 1) 90 else 12)) }
            val before =
                (store.range("") as StoreResult.Ok)
                    .value.items
                    .single()
                    .revision
            era = 2
            val after =
                (store.range("") as StoreResult.Ok)
                    .value.items
                    .single()
                    .revision
            expectThat(after).isGreaterThan(before)
        }

    /** Guards against an answer that was under way for a long time and undoes what was read since. */
    @Test
    fun `a late response from before the store was restored is not used`(): Unit =
        runBlocking {
            var era = 2
            val store = storeThat { it.respondInEra(era, page(12)) }
            expectThat(store.range("")).isA<StoreResult.Ok<StoreRange>>()
            era = 1
            expectThat(store.range("")).isA<StoreResult.Unknown>()
        }

    /** Guards against a write that takes a revision for that of another item, since it was given out again. */
    @Test
    fun `a transaction that expects a revision from before the store was restored conflicts`(): Unit =
        runBlocking {
            var era = 1
            val store = storeThat { it.respondInEra(era, page(9)) }
            val revision =
                (store.range("") as StoreResult.Ok)
                    .value.items
                    .single()
                    .revision
            era = 2
            store.range("")
            expectThat(store.commit(StoreTransaction(mapOf("k" to revision))))
                .isEqualTo(StoreResult.Ok(CommitResult.Conflict))
        }

    private companion object {
        const val CONFIG_BYTES = 1_000_000
    }
}
