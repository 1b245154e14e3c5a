/**
 * Measurement of ages that include the time during which the machine was suspended.
 *
 * The monotonic clock may stop while a machine is suspended, and the wall clock may be stepped backwards or forwards.
 * An age is the greater of the differences on both clocks. A proof may therefore appear older than it is, but appears
 * younger only if both clocks fail at the same time.
 */
package lacewingweir.state.time

/** Simultaneous readings of the monotonic clock and the wall clock. */
internal data class ClockReading(
    val monotonicMillis: Long,
    val wallMillis: Long,
) {
    /** Returns this reading with both clocks advanced by [millis]. */
    fun plus(millis: Long) = ClockReading(monotonicMillis + millis, wallMillis + millis)
}

/** Measures ages on the monotonic clock and the wall clock, and reports the greater one. */
internal class SuspendAwareClock(
    private val monotonic: MonotonicClock = MonotonicClock.SYSTEM,
    private val wallMillis: () -> Long = System::currentTimeMillis,
) {
    fun now() = ClockReading(monotonic.nowMillis(), wallMillis())

    /** Returns the milliseconds since [reading], according to the clock on which more time has passed. */
    fun ageMillis(reading: ClockReading): Long =
        now().let {
            maxOf(
                it.monotonicMillis - reading.monotonicMillis,
                it.wallMillis - reading.wallMillis,
            )
        }
}
