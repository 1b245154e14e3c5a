package lacewingweir.platform

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import lacewingweir.transport.http.ServerExchange
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** The copies of runs that the engines of a fleet hold, by handle. A copy can be used once. */
internal class StandinCopies {
    private val handles = ConcurrentHashMap.newKeySet<String>()
    private val numbers = AtomicLong()

    /** The number of runs that went on from a copy. */
    val used = AtomicLong()

    /** The number of requests to continue a run that were refused. */
    val refused = AtomicLong()

    fun create(): String = "c${numbers.incrementAndGet()}".also { handles += it }

    /** Uses the copy that the value of the header `Kv-From` names. Returns false if there is none. */
    fun use(from: String): Boolean = handles.remove(from.substringAfter('/')).also { if (it) used.incrementAndGet() }
}

/** The runs of a stand-in engine, which can be copied to other engines and stopped. */
internal class StandinRuns(
    private val copies: StandinCopies,
) {
    private val runs = ConcurrentHashMap<String, CompletableDeferred<Unit>>()

    /** Time that a copy takes, which is the last one of its run or not. */
    @Volatile
    var copyMillis: (last: Boolean) -> Long = { 0 }

    fun begin(id: String) {
        runs[id] = CompletableDeferred()
    }

    fun end(id: String) {
        runs.remove(id)
    }

    fun isStopped(id: String): Boolean = runs[id]?.isCompleted ?: false

    /** Answers a request to copy a run. The last copy stops the run before. */
    suspend fun copy(exchange: ServerExchange) {
        val request = parseObject(exchange.body)
        val run = runs[request.string("id")]
        val last = "\"last\":true" in exchange.body.decodeToString()
        if (run == null || run.isCompleted) {
            exchange.respond(404)
            return
        }
        if (last) run.complete(Unit)
        delay(copyMillis(last))
        val body = """{"handle":"${copies.create()}","createRev":1}""".encodeToByteArray()
        exchange.respond(200, listOf("Content-Type" to "application/json"), body)
    }

    /** Records that the engine refused to continue a run before its copy was looked at. */
    fun onRefused() {
        copies.refused.incrementAndGet()
    }

    /** Returns false and refuses the request if it continues a run from a copy that doesn't exist. */
    suspend fun admits(exchange: ServerExchange): Boolean {
        val from = exchange.headers.get("Kv-From") ?: return true
        if (copies.use(from)) return true
        onRefused()
        val id = exchange.headers.get(PlatformHeaders.REQUEST_ID)
        exchange.respond(503, listOf(PlatformHeaders.REQUEST_ID to id, PlatformHeaders.NOT_RUN to "1"))
        return false
    }
}
