/**
 * The stop of an instance, as its calls see it.
 *
 * The platform kills the process at a time that is known from the signal on, so every call has to end before. A call
 * that is likely to last longer is refused while it can still run elsewhere. One that can't get its answer in time
 * nevertheless gets a true one: that it has not run, or that its outcome is unknown.
 */
package lacewingweir.transport.relay

import kotlinx.coroutines.Job
import lacewingweir.state.id.RouteId
import lacewingweir.state.stop.AnswerTimes
import lacewingweir.state.stop.SignalTime
import lacewingweir.state.stop.StopSchedule
import lacewingweir.state.time.MonotonicClock
import lacewingweir.transport.http.orNullIfEnded
import java.util.concurrent.atomic.LongAdder

/** Tells calls when this instance ends. Until [begin], it is taken to run forever. */
internal class InstanceStop(
    private val clock: MonotonicClock,
) {
    private class Begun(
        val signal: SignalTime,
        val schedule: StopSchedule,
    )

    private val ended = Job()
    private val answerTimes = AnswerTimes()
    private val longCalls = LongAdder()

    @Volatile
    private var begun: Begun? = null

    /** When all calls have to have ended, by the monotonic clock. */
    val callsEndAtMillis: Long
        get() = begun?.schedule?.lastAnswersAtMillis ?: Long.MAX_VALUE

    /** The time since the signal to stop was noticed, or null if there was none. */
    val sinceSignalMillis: Long?
        get() = begun?.let { clock.nowMillis() - it.signal.noticedMillis }

    /** The number of calls that were admitted after the signal, though their time limit lies beyond the end. */
    val admittedLongCalls: Long
        get() = longCalls.sum()

    /** Begins the stop. */
    fun begin(
        signal: SignalTime,
        schedule: StopSchedule,
    ) {
        begun = Begun(signal, schedule)
    }

    /** Records that an answer on [route] took [millis] from the arrival of its call to its end. */
    fun onAnswered(
        route: RouteId,
        millis: Long,
    ) = answerTimes.record(route, millis)

    /** Records that a call is admitted that may last until [deadlineAtMillis]. */
    fun onAdmitted(deadlineAtMillis: Long) {
        if (deadlineAtMillis > callsEndAtMillis) longCalls.increment()
    }

    /**
     * Returns whether a call on [route] that may last until [deadlineAtMillis] is better off at another instance: it is
     * not certain to end in time, and either it is late, or one answer in four on its route has lately taken longer
     * than is left. Refusing more would serve fewer callers while others stop too.
     */
    fun isTooLateFor(
        route: RouteId,
        deadlineAtMillis: Long,
    ): Boolean {
        val schedule = begun?.schedule ?: return false
        val end = schedule.lastAnswersAtMillis
        if (deadlineAtMillis <= end) return false
        val now = clock.nowMillis()
        return now >= schedule.longCallsUntilMillis || now + (answerTimes.usualMillis(route) ?: 0) > end
    }

    /** Returns the time until [deadlineAtMillis] or the end of the calls, in milliseconds. */
    fun remainingMillis(deadlineAtMillis: Long): Long = minOf(deadlineAtMillis, callsEndAtMillis) - clock.nowMillis()

    /** Ends what runs in [beforeEnd]. */
    fun endCalls() {
        ended.complete()
    }

    /** Runs [block], and returns null if the calls end before it does. */
    suspend fun <T : Any> beforeEnd(block: suspend () -> T?): T? =
        orNullIfEnded(arm = { end -> ended.invokeOnCompletion { end() } }, block)
}
