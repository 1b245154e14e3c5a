package lacewingweir.platform

import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random

/** How a caller sends a request, or two. */
internal enum class CallerKind {
    KEPT,
    NEW_CONNECTION,
    LEAVING,
    PIPELINED,
    CHUNKED,
    SHORT_DEADLINE,
}

/**
 * Calls of a [kind] whose callers are drawn from the seed of the [record], which the servers write.
 *
 * Finds calls that got something else than what a server wrote as its answer to exactly them.
 *
 * @property path the first segment of the path of the requests
 * @property connect opens a connection of a caller to the router that it chose by a number
 */
internal class StutterPlay(
    private val kind: String,
    private val record: StutterRecord,
    private val callers: Int = 8,
    private val callsPerCaller: Int = 40,
    private val path: String = kind,
    private val connect: (router: Int) -> StutterCaller,
) {
    /** What is wrong, with what both sides saw. */
    val wrong = CopyOnWriteArrayList<String>()

    /** The answers that no router can tell from the right one. */
    val untellable = AtomicInteger()
    val served = AtomicInteger()
    val statuses = ConcurrentHashMap<Int, AtomicInteger>()
    val callerKinds = ConcurrentHashMap<CallerKind, AtomicInteger>()

    fun run() {
        val threads = (1..callers).map { caller -> thread(isDaemon = true) { play(caller) } }
        threads.forEach { it.join() }
        if (kind == "non_idempotent") record.ids.forEach(::checkRuns)
    }

    private fun play(caller: Int) {
        val random = Random(record.seed * CALLER_FACTOR + caller)
        var connection: StutterCaller? = null
        var number = 0
        while (number < callsPerCaller) {
            val callerKind = CallerKind.entries[random.nextInt(CallerKind.entries.size)]
            callerKinds.computeIfAbsent(callerKind) { AtomicInteger() }.incrementAndGet()
            if (callerKind == CallerKind.NEW_CONNECTION) connection = connection.end()
            val current = connection ?: connectToAny(random.nextInt(ROUTERS))
            val count = if (callerKind == CallerKind.PIPELINED) 2 else 1
            val ids = List(count) { "%016x".format((record.seed * CALLER_FACTOR + caller) * CALL_FACTOR + number++) }
            connection = current.takeIf { exchange(it, ids, callerKind, random) }
            if (connection == null) current.close()
        }
        connection.end()
    }

    /** Connects to another router if the one chosen has stopped. */
    private fun connectToAny(router: Int): StutterCaller =
        (router until router + ROUTERS).firstNotNullOf {
            try {
                connect(it)
            } catch (_: IOException) {
                null
            }
        }

    /** Sends the requests with these [ids], and returns whether their connection can be used again. */
    private fun exchange(
        connection: StutterCaller,
        ids: List<String>,
        callerKind: CallerKind,
        random: Random,
    ): Boolean =
        try {
            connection.send(ids.joinToString("") { request(it, callerKind) })
            if (callerKind == CallerKind.LEAVING) {
                Thread.sleep(random.nextLong(LEAVE_MILLIS))
                false
            } else {
                for (id in ids) if (connection.open) check(id, connection.read(id))
                connection.open
            }
        } catch (_: IOException) {
            // The router has closed the connection.
            false
        }

    private fun StutterCaller?.end(): StutterCaller? {
        if (this == null) return null
        unasked()?.let { wrong += "seed=${record.seed} $kind bytes without a request: $it" }
        close()
        return null
    }

    private fun request(
        id: String,
        callerKind: CallerKind,
    ): String {
        val deadline = if (callerKind == CallerKind.SHORT_DEADLINE) SHORT_DEADLINE_MILLIS else DEADLINE_MILLIS
        val prompt =
            if (kind == "stream") "Model: m\r\nToken-Counts: 300,20\r\nPrompt-Prefix: $id:300\r\n" else ""
        val body = "body of $id"
        val framed =
            if (callerKind == CallerKind.CHUNKED) {
                "Transfer-Encoding: chunked\r\n\r\n4\r\n${body.take(4)}\r\n" +
                    "${(body.length - 4).toString(16)}\r\n${body.drop(4)}\r\n0\r\n\r\n"
            } else {
                "Content-Length: ${body.length}\r\n\r\n$body"
            }
        return "POST /$path/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: $id\r\nX-Api-Key: k1\r\n" +
            "Deadline-Ms: $deadline\r\n$prompt$framed"
    }

    private fun check(
        id: String,
        seen: SeenResponse,
    ) {
        statuses.computeIfAbsent(seen.status) { AtomicInteger() }.incrementAndGet()
        val named = seen.headers["attempt-id"]
        when {
            seen.violation != null -> fault(id, seen, seen.violation)
            named != null && named != id -> fault(id, seen, "the answer names another request")
            seen.body in record.foreignBodies(id) -> untellable.incrementAndGet()
            ownBody.findAll(seen.body).any { it.groupValues[1] != id } -> fault(id, seen, "the body of another request")
            seen.complete && seen.status in 200..299 -> checkSuccess(id, seen)
            seen.complete && "server-stamp" in seen.headers -> checkFailure(id, seen)
        }
    }

    private fun checkSuccess(
        id: String,
        seen: SeenResponse,
    ) {
        val sends = record.sendsOf(id)
        val own =
            sends.any {
                val answer = it.plan.answer
                val whole = if (kind == "stream") streamOf(id, 0) else answer.body
                it.plan.complete && answer.status.success && answer.ids == listOf(id) && seen.body == whole
            }
        val early =
            sends.any { send ->
                send.plan.early?.let { seen.body == if (kind == "stream") streamOf(id, 0) else it.body } ?: false
            }
        when {
            own -> served.incrementAndGet()
            early -> untellable.incrementAndGet()
            else -> fault(id, seen, "a success that no server wrote as its answer")
        }
    }

    private fun checkFailure(
        id: String,
        seen: SeenResponse,
    ) {
        val own =
            record.sendsOf(id).any {
                it.plan.answer.status.code == seen.status && it.plan.answer.body == seen.body
            }
        if (!own) fault(id, seen, "a failure that no server wrote as its answer")
    }

    private fun checkRuns(id: String) {
        val runs = record.sendsOf(id).count { it.plan.ran }
        if (runs > 1) wrong += "seed=${record.seed} $kind id=$id run $runs times\n  ${record.sendsOf(id)}"
    }

    private fun fault(
        id: String,
        seen: SeenResponse,
        what: String,
    ) {
        val sends = record.sendsOf(id)
        if (sends.any { it.plan.torn }) {
            untellable.incrementAndGet()
            return
        }
        wrong += "seed=${record.seed} $kind id=$id $what\n  caller saw $seen" +
            sends.joinToString("") { "\n  sent to $it" }
    }

    companion object {
        private const val CALLER_FACTOR = 1_000L
        private const val CALL_FACTOR = 10_000L
        private const val ROUTERS = 8
        private const val LEAVE_MILLIS = 20L
        private const val DEADLINE_MILLIS = 1_000
        private const val SHORT_DEADLINE_MILLIS = 40
        private const val STREAM_EVENTS = 4
        private val ownBody = Regex("""own ([0-9a-f]{16})""")

        /** The events of a stream from the one behind [after] on. */
        fun streamOf(
            id: String,
            after: Int,
        ): String = (after + 1..STREAM_EVENTS).joinToString("") { "id: $it\ndata: own $id $it\n\n" }
    }
}
