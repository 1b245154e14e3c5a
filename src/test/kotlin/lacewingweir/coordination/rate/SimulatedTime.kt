package lacewingweir.coordination.rate

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import lacewingweir.coordination.peer.PeerAddress
import lacewingweir.coordination.peer.PeerMessage
import lacewingweir.coordination.peer.PeerNetwork
import lacewingweir.coordination.time.Subscription
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.Incarnation
import lacewingweir.state.id.InstanceName
import lacewingweir.state.time.MonotonicClock
import java.util.PriorityQueue

/** A discrete-event scheduler with virtual time. Events run in order of their time, in the calling thread. */
class SimulatedTime {
    private class Event(
        val atMicros: Long,
        val number: Long,
        val run: () -> Unit,
    )

    private val events = PriorityQueue(compareBy<Event> { it.atMicros }.thenBy { it.number })
    private var nextNumber = 0L

    var nowMicros = 0L
        private set

    /** Schedules [run] at [micros], or now if that time has passed. */
    fun at(
        micros: Long,
        run: () -> Unit,
    ) {
        events += Event(maxOf(micros, nowMicros), nextNumber++, run)
    }

    /** Runs all events up to [micros], calling [afterEach] after each of them. */
    fun runUntil(
        micros: Long,
        afterEach: () -> Unit = {},
    ) {
        while ((events.peek()?.atMicros ?: Long.MAX_VALUE) <= micros) {
            val event = events.poll()
            nowMicros = event.atMicros
            event.run()
            afterEach()
        }
        nowMicros = micros
    }
}

/**
 * A process in simulated time that can be paused or stopped.
 *
 * Its clock runs [clockFactor] times as fast as the simulated time.
 */
class SimulatedProcess(
    private val time: SimulatedTime,
    private val clockFactor: Double = 1.0,
) : TimerService {
    private val scope = CoroutineScope(Dispatchers.Unconfined)
    var pausedUntilMicros = 0L
    var stopped = false

    val clock = MonotonicClock { (time.nowMicros * clockFactor / 1_000).toLong() }

    /** Runs [task] at [micros], or after the pause if the process is paused then, unless the process is stopped. */
    fun at(
        micros: Long,
        task: () -> Unit,
    ) {
        time.at(micros) {
            if (!stopped) {
                if (time.nowMicros < pausedUntilMicros) {
                    at(pausedUntilMicros, task)
                } else {
                    task()
                }
            }
        }
    }

    override fun every(
        name: String,
        periodMillis: Long,
        jitter: Double,
        task: suspend () -> Unit,
    ): Subscription {
        var active = true

        fun scheduleNext() {
            at(time.nowMicros + (periodMillis * 1_000 / clockFactor).toLong()) {
                if (active) {
                    scope.launch { task() }
                    scheduleNext()
                }
            }
        }
        scheduleNext()
        return Subscription { active = false }
    }

    override fun after(
        name: String,
        delayMillis: Long,
        task: suspend () -> Unit,
    ): Subscription {
        var active = true
        at(time.nowMicros + (delayMillis * 1_000 / clockFactor).toLong()) {
            if (active) scope.launch { task() }
        }
        return Subscription { active = false }
    }
}

/** The network of one simulation. [delayMicros] returns the delay of a message, or null to drop it. */
class SimulatedNetwork(
    private val time: SimulatedTime,
    private val delayMicros: (PeerMessage) -> Long?,
) {
    private val nodes = LinkedHashMap<InstanceName, Node>()
    var messages = 0L
        private set
    var onMessage: (PeerMessage) -> Unit = {}

    fun join(
        name: String,
        incarnation: Int,
        process: SimulatedProcess,
    ): PeerNetwork {
        val domain = FailureDomain("d")
        val address = PeerAddress(InstanceName(name), Incarnation(incarnation.toString()), "127.0.0.1", 1, 2, domain)
        return Node(address, process).also { nodes[address.name] = it }
    }

    private inner class Node(
        override val self: PeerAddress,
        private val process: SimulatedProcess,
    ) : PeerNetwork {
        private val handlers = ArrayList<(PeerAddress, PeerMessage) -> Unit>()

        override fun connectedPeers(): List<PeerAddress> =
            nodes.values.filter { it !== this && !it.process.stopped }.map { it.self }

        override fun addPeer(address: PeerAddress) = Unit

        override fun send(
            to: InstanceName,
            message: PeerMessage,
        ): Boolean {
            val target = nodes[to]?.takeIf { !it.process.stopped } ?: return false
            messages++
            onMessage(message)
            val delay = delayMicros(message) ?: return true
            target.process.at(time.nowMicros + delay) { target.handlers.forEach { it(self, message) } }
            return true
        }

        override fun subscribe(handler: (from: PeerAddress, message: PeerMessage) -> Unit) {
            handlers += handler
        }
    }
}
