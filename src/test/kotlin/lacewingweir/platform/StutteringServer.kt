package lacewingweir.platform

import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.random.Random

/** What the servers of a play have been asked, and what they did about it. */
internal class StutterRecord(
    val seed: Long,
) {
    /** The plan for a request that a server received, whose body may not have been read yet. */
    class Send(
        val server: Int,
        val plan: StutterPlan,
        val resumedAfter: String?,
    ) {
        override fun toString(): String = "server=$server after=$resumedAfter $plan"
    }

    private val byId = ConcurrentHashMap<String, MutableList<Send>>()
    private val foreignBodies = ConcurrentHashMap<String, MutableList<String>>()

    val ids: List<String>
        get() = byId.keys.toList()

    fun sendsOf(id: String): List<Send> = byId[id].orEmpty()

    fun add(
        id: String,
        send: Send,
    ) {
        byId.computeIfAbsent(id) { CopyOnWriteArrayList() } += send
    }

    /**
     * The bodies of responses to other requests that were written under the name of the request with this [id], where
     * it was waiting for its answer. No router can tell them from the answer.
     */
    fun foreignBodies(id: String): List<String> = foreignBodies[id].orEmpty()

    fun addForeignBody(
        id: String,
        body: String,
    ) {
        foreignBodies.computeIfAbsent(id) { CopyOnWriteArrayList() } += body
    }

    fun count(stutter: Stutter): Int = byId.values.flatten().count { it.plan.stutter == stutter }
}

/** The server with the number [index], whose responses are drawn from the seed of the [record]. */
internal class StutteringServer(
    private val index: Int,
    private val record: StutterRecord,
    private val streams: Boolean,
) : AutoCloseable {
    private val connections = ConcurrentLinkedQueue<RawServer.Connection>()
    private val lastIds = ConcurrentHashMap<RawServer.Connection, String>()
    private val recentIds = ConcurrentLinkedQueue<String>()
    private val early = ConcurrentHashMap.newKeySet<String>()
    private val raw = RawServer(onHead = { onHead(this, it) }) { onRequest(this, it) }

    val port: Int
        get() = raw.port

    private fun onHead(
        connection: RawServer.Connection,
        request: RawServer.Request,
    ) {
        if (connection !in connections) connections += connection
        lastIds[connection] = request.id
        val send = draw(request)
        record.add(request.id, send)
        if (send.plan.beforeBody) {
            early += request.id
            synchronized(connection) { perform(connection, send.plan.steps) }
        }
    }

    private fun onRequest(
        connection: RawServer.Connection,
        request: RawServer.Request,
    ) {
        if (early.remove(request.id)) return
        val plan = record.sendsOf(request.id).last { it.server == index }.plan
        if (plan.background) {
            perform(connection, plan.steps.take(1))
            thread(isDaemon = true) { perform(connection, plan.steps.drop(1)) }
        } else {
            // No late response is written between the pieces of an answer. What is mixed is drawn as such.
            synchronized(connection) { perform(connection, plan.steps) }
        }
    }

    private fun draw(request: RawServer.Request): StutterRecord.Send {
        val number = record.sendsOf(request.id).size
        val random = Random((record.seed * SEED_FACTOR + request.id.hashCode()) * SEED_FACTOR + number)
        val after = request.headers["last-event-id"]
        val others = recentIds.toList().filter { it != request.id }
        recentIds += request.id
        if (recentIds.size > RECENT_IDS) recentIds.poll()
        val plan =
            StutterDraw(random, request.id, others, streams) { success ->
                when {
                    streams && success -> StutterPlay.streamOf(request.id, after?.toIntOrNull() ?: 0)
                    else -> {
                        val name = if (success) "success" else "failure"
                        "own ${request.id} $name $index.$number.${random.nextInt(
                            1000,
                        )} ".padEnd(random.nextInt(40, 300), '.')
                    }
                }
            }.draw()
        return StutterRecord.Send(index, plan, after)
    }

    private fun perform(
        connection: RawServer.Connection,
        steps: List<StutterStep>,
    ) = try {
        steps.forEach { perform(connection, it) }
    } catch (_: IOException) {
        // The instance has closed the connection.
    }

    private fun perform(
        connection: RawServer.Connection,
        step: StutterStep,
    ) {
        if (step.afterMillis > 0) Thread.sleep(step.afterMillis)
        when (step) {
            is StutterStep.Write -> synchronized(connection) { connection.write(step.text) }
            is StutterStep.WriteElsewhere -> writeElsewhere(connection, step.response)
            is StutterStep.Close -> if (step.reset) connection.reset() else connection.close()
        }
    }

    private fun writeElsewhere(
        connection: RawServer.Connection,
        response: DrawnResponse,
    ) {
        for (other in connections.filter { it !== connection }.shuffled()) {
            try {
                synchronized(other) {
                    // The request may be answered by the time at which the write returns.
                    response.ids.singleOrNull()?.takeIf { it == lastIds[other] && it != lastIds[connection] }?.let {
                        record.addForeignBody(it, response.body)
                    }
                    other.write(response.text)
                }
                return
            } catch (_: IOException) {
                connections -= other
            }
        }
    }

    override fun close() = raw.close()

    private companion object {
        const val SEED_FACTOR = 1_000_003L
        const val RECENT_IDS = 16
    }
}
