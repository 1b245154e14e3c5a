package lacewingweir.testing

import kotlinx.coroutines.runBlocking
import lacewingweir.coordination.time.Subscription
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.time.MonotonicClock

/** Timers and a clock whose time passes only in [advance]. Tasks run on the thread that calls [advance]. */
internal class ManualTimers :
    TimerService,
    MonotonicClock {
    private class Task(
        val periodMillis: Long?,
        var dueMillis: Long,
        val run: suspend () -> Unit,
    )

    private val tasks = mutableListOf<Task>()
    private var nowMillis = 1_000L

    override fun nowMillis(): Long = nowMillis

    override fun every(
        name: String,
        periodMillis: Long,
        jitter: Double,
        task: suspend () -> Unit,
    ): Subscription = add(Task(periodMillis, nowMillis + periodMillis, task))

    override fun after(
        name: String,
        delayMillis: Long,
        task: suspend () -> Unit,
    ): Subscription = add(Task(null, nowMillis + delayMillis, task))

    private fun add(task: Task): Subscription {
        tasks += task
        return Subscription { tasks -= task }
    }

    /** Advances the clock by [millis] and runs the tasks that become due, in order of their due times. */
    fun advance(millis: Long) {
        val endMillis = nowMillis + millis
        while (true) {
            val next = tasks.filter { it.dueMillis <= endMillis }.minByOrNull { it.dueMillis } ?: break
            nowMillis = maxOf(nowMillis, next.dueMillis)
            if (next.periodMillis == null) tasks -= next else next.dueMillis += next.periodMillis
            runBlocking { next.run() }
        }
        nowMillis = endMillis
    }
}
