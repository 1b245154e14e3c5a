package lacewingweir.coordination.time

import kotlinx.coroutines.runBlocking
import lacewingweir.state.time.MonotonicClock

/** A clock and timer service that [advance] drives. */
internal class ManualTimers :
    TimerService,
    MonotonicClock {
    private class Task(
        var dueAt: Long,
        val periodMillis: Long?,
        val run: suspend () -> Unit,
    )

    private val tasks = ArrayList<Task>()

    @Volatile
    private var now = 10_000L

    override fun nowMillis(): Long = now

    override fun every(
        name: String,
        periodMillis: Long,
        jitter: Double,
        task: suspend () -> Unit,
    ): Subscription = add(Task(now + periodMillis, periodMillis, task))

    override fun after(
        name: String,
        delayMillis: Long,
        task: suspend () -> Unit,
    ): Subscription = add(Task(now + delayMillis, null, task))

    private fun add(task: Task): Subscription {
        tasks.add(task)
        return Subscription { tasks.remove(task) }
    }

    fun advance(millis: Long) {
        val end = now + millis
        while (true) {
            val due = tasks.filter { it.dueAt <= end }.minByOrNull { it.dueAt } ?: break
            now = maxOf(now, due.dueAt)
            if (due.periodMillis == null) tasks.remove(due) else due.dueAt += due.periodMillis
            runBlocking { due.run() }
        }
        now = end
    }
}
