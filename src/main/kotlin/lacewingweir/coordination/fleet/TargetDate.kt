package lacewingweir.coordination.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.state.time.ClockReading
import lacewingweir.state.time.SuspendAwareClock

private val logger = KotlinLogging.logger {}

/**
 * What is known about the moment at which a target was set.
 *
 * @property learnedAt when this instance learned of the target, and therefore not before it was set
 * @property watchedAfter the last moment before [learnedAt] at which this instance knew every item of the store, or
 *   null if it found the target when it started or after an outage of the store
 * @property assumed the moment that counts while no better one is known, if any
 */
internal class TargetDate(
    private val clock: SuspendAwareClock,
    val learnedAt: ClockReading,
    val watchedAfter: ClockReading? = null,
    var assumed: ClockReading? = null,
) {
    /**
     * The moments that result from what one peer has told.
     *
     * A datagram may have waited while this instance was frozen, and then the age that it carries makes the target
     * appear too young. So the earliest moment of several datagrams counts, once a datagram has arrived that can't have
     * waited together with the first one.
     */
    private class Told(
        val firstToldAt: ClockReading,
        var moment: ClockReading,
    ) {
        var confirmed = false
    }

    private var storedApplied = false
    private var stored: ClockReading? = null
    private val told = HashMap<String, Told>()

    /** The moment from which the target counts, or null if nothing is known. */
    val moment: ClockReading?
        get() = latestObserved() ?: stored ?: assumed

    /** A moment after [learnedAt] is wrong: a store restored from an older copy may show a target once more. */
    private fun latestObserved(): ClockReading? =
        (told.values.filter { it.confirmed }.map { it.moment } + listOfNotNull(watchedAfter))
            .filter { it.monotonicMillis <= learnedAt.monotonicMillis }
            .maxByOrNull { it.monotonicMillis }

    /** Records that [peer] has told an age of [ageMillis]. Returns whether this changes the moment that counts. */
    fun onTold(
        peer: String,
        ageMillis: Long,
    ): Boolean {
        val before = moment
        val now = clock.now()
        val toldMoment = now.plus(-(ageMillis + DELIVERY_MILLIS))
        val known = told.getOrPut(peer) { Told(now, toldMoment) }
        if (toldMoment.monotonicMillis < known.moment.monotonicMillis) known.moment = toldMoment
        if (clock.ageMillis(known.firstToldAt) >= MIN_CONFIRMATION_MILLIS) known.confirmed = true
        return moment != before
    }

    /**
     * Records the moment that the store has kept, on the wall clock of another machine. Returns whether this changes
     * the moment that counts. A moment that lies ahead comes from a clock that was wrong and has no effect.
     */
    fun onStored(unixMillis: Long): Boolean {
        if (storedApplied) return false
        storedApplied = true
        val before = moment
        val now = clock.now()
        val ageMillis = now.wallMillis - unixMillis + MAX_CLOCK_DIFFERENCE_MILLIS
        if (ageMillis < 0) {
            logger.warn { "directory: moment of target weights lies ${-ageMillis} ms ahead; ignored" }
            return false
        }
        stored = now.plus(-ageMillis)
        return moment != before
    }

    private companion object {
        /** Greatest difference between the wall clocks of two machines. */
        const val MAX_CLOCK_DIFFERENCE_MILLIS: Long = 500

        /** Time that a datagram takes between instances; more only if many are queued on a link. */
        const val DELIVERY_MILLIS: Long = 50

        /** Shorter than the interval of digests, and longer than it takes to read all datagrams that have waited. */
        const val MIN_CONFIRMATION_MILLIS: Long = 200
    }
}
