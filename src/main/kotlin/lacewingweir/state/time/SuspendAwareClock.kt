/**
 * Ages that also count time during which the process was suspended.
 *
 * The monotonic clock may stand still while a machine is suspended, and the wall clock may be stepped. An age is the
 * greater of both differences, so either fault only makes a proof look older than it is.
 */
package lacewingweir.state.time

/** A moment on both clocks. */
internal data class ClockReading(
    val monotonicMillis: Long,
    val wallMillis: Long,
) {
    /** This moment moved by [millis]. */
    fun plus(millis: Long) = ClockReading(monotonicMillis + millis, wallMillis + millis)
}

/** Reads both clocks. */
internal class SuspendAwareClock(
    private val monotonic: MonotonicClock = MonotonicClock.SYSTEM,
    private val wallMillis: () -> Long = System::currentTimeMillis,
) {
    fun now() = ClockReading(monotonic.nowMillis(), wallMillis())

    /** Milliseconds since [moment], never too few. */
    fun ageMillis(moment: ClockReading): Long =
        now().let {
            maxOf(
                it.monotonicMillis - moment.monotonicMillis,
                it.wallMillis - moment.wallMillis,
            )
        }
}
