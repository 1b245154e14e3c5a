package lacewingweir.platform

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.combine
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonObject
import lacewingweir.transport.http.ServerExchange
import java.util.concurrent.CopyOnWriteArrayList

/**
 * The weights of a stand-in engine, the commands that load them, and the calls that begin on them.
 *
 * A load waits until all runs have ended, then takes [loadMillis]. Meanwhile calls that haven't begun are given back.
 * [onLoaded] is called after each load. A restart keeps the weights and forgets everything else.
 */
internal class StandinWeights(
    private val scope: CoroutineScope,
    private val onLoaded: () -> Unit,
) {
    /** The beginning of a call, which is its first event. */
    class Begin(
        val atMillis: Long,
        val weights: Long,
        val requestId: String,
    )

    /** A load command that the engine accepted. */
    class Load(
        val atMillis: Long,
        val weights: Long,
    )

    private class Report(
        val atMillis: Long,
        val body: String,
    )

    @Volatile
    var current = 1L
        private set

    /** Time that a load takes after the runs have ended. */
    @Volatile
    var loadMillis = 300L

    /** Age of the values in a status report. */
    @Volatile
    var reportDelayMillis = 100L

    /** Time until the engine notices that the sender of a call that waits has disconnected. */
    @Volatile
    var disconnectNoticeMillis = 100L

    /** Whether commands get no response and have no effect. */
    @Volatile
    var losesCommands = false

    /** Whether the engine answers a request for its status. Otherwise it is silent. */
    @Volatile
    var answersStatus: () -> Boolean = { true }

    val begins = CopyOnWriteArrayList<Begin>()
    val loads = CopyOnWriteArrayList<Load>()

    /** Calls that a load gave back before they had begun. */
    val givenBack = CopyOnWriteArrayList<String>()

    private val loading = MutableStateFlow(false)
    private val running = MutableStateFlow(0)
    private var load: Job? = null
    private var commands = 0L
    private var highestFence = 0L
    private val reports = ArrayList<Report>()

    @Synchronized
    fun onStart() {
        load?.cancel()
        load = null
        commands = 0
        highestFence = 0
        loading.value = false
        running.value = 0
        reports.clear()
        record()
    }

    /**
     * Lets a call wait for [queueMillis], and begin.
     *
     * Returns whether it began. If it didn't, the call has been answered, or its sender is gone. A call that began must
     * be ended by [end].
     */
    suspend fun begin(
        exchange: ServerExchange,
        queueMillis: Long,
    ): Boolean {
        val id = exchange.headers.get(PlatformHeaders.REQUEST_ID).orEmpty()
        val expected = exchange.headers.get(PlatformHeaders.EXPECTED_WEIGHTS)?.toLong()
        if (expected != null && expected != current) {
            exchange.respond(421, listOf(PlatformHeaders.REQUEST_ID to id))
            return false
        }
        val abandoned = MutableStateFlow(false)
        exchange.onDisconnect {
            scope.launch {
                delay(disconnectNoticeMillis)
                abandoned.value = true
            }
        }
        withTimeoutOrNull(queueMillis) { combine(loading, abandoned) { a, b -> a || b }.first { it } }
        if (abandoned.value) return false
        if (tryBegin(id)) return true
        givenBack += id
        exchange.respond(503, listOf(PlatformHeaders.REQUEST_ID to id, PlatformHeaders.NOT_RUN to "1"))
        return false
    }

    @Synchronized
    private fun tryBegin(id: String): Boolean {
        if (loading.value) return false
        running.value++
        begins += Begin(StandinPromptEngine.nowMillis(), current, id)
        return true
    }

    @Synchronized
    fun end() {
        running.value = (running.value - 1).coerceAtLeast(0)
    }

    /** Handles a control request to the engine with the given [id]. */
    suspend fun control(
        exchange: ServerExchange,
        id: String,
    ) {
        val expected = exchange.headers.get(PlatformHeaders.EXPECTED_ENDPOINT)
        when {
            expected != null && expected != id -> exchange.respond(421)
            exchange.path == PlatformPaths.ENGINE_STATUS && !answersStatus() -> awaitCancellation()
            exchange.path == PlatformPaths.ENGINE_STATUS -> exchange.respondJson(200, report())
            exchange.path == PlatformPaths.LOAD_COMMAND && losesCommands -> exchange.abort()
            exchange.path == PlatformPaths.LOAD_COMMAND -> exchange.respond(accept(parseObject(exchange.body)))
            else -> exchange.respond(404)
        }
    }

    private suspend fun ServerExchange.respondJson(
        status: Int,
        body: String,
    ) = respond(status, listOf("Content-Type" to "application/json"), body.encodeToByteArray())

    /** Returns the newest report that is old enough, or the first one after a start. */
    @Synchronized
    private fun report(): String {
        val latest = StandinPromptEngine.nowMillis() - reportDelayMillis
        return (reports.lastOrNull { it.atMillis <= latest } ?: reports.first()).body
    }

    /** Returns the status of the response to a load command, and starts the load if it is 202. */
    @Synchronized
    private fun accept(command: JsonObject): Int {
        val fence = command.integerOrNull("fence")
        val weights = command.integer("version")
        return when {
            fence == null || command["holder"] == null || command.string("operation") != "version" -> 400
            fence < highestFence -> 412
            loading.value || (command.integerOrNull("expect") ?: commands) != commands -> 409
            weights == current -> 200
            else -> {
                highestFence = fence
                commands++
                loading.value = true
                loads += Load(StandinPromptEngine.nowMillis(), weights)
                record()
                load = scope.launch { load(weights) }
                202
            }
        }
    }

    private suspend fun load(weights: Long) {
        running.first { it == 0 }
        delay(loadMillis)
        synchronized(this) {
            current = weights
            loading.value = false
            record()
        }
        onLoaded()
    }

    @Synchronized
    private fun record() {
        val models = """"models":[{"name":"m","version":$current,"adapters":[]}]"""
        val body = """{$models,"busy":${loading.value},"sequence":$commands}"""
        reports += Report(StandinPromptEngine.nowMillis(), body)
    }
}
