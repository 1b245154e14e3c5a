package lacewingweir.coordination.fleet

import lacewingweir.state.time.ClockReading
import lacewingweir.state.time.SuspendAwareClock
import java.util.concurrent.atomic.AtomicReference

/**
 * The latest moment at which this instance certainly knew everything that the store had acknowledged.
 *
 * Withdrawn keys must stop working even where nothing is heard, so keyed requests are served only on a young proof.
 */
internal class ContactProof(
    private val clock: SuspendAwareClock,
) {
    private val provedAt = AtomicReference<ClockReading?>(null)

    /** Records that knowledge was complete at [moment]. */
    fun prove(moment: ClockReading) {
        provedAt.updateAndGet { known ->
            if (known == null ||
                moment.monotonicMillis > known.monotonicMillis
            ) {
                moment
            } else {
                known
            }
        }
    }

    /** Milliseconds since the proof; very large before the first one. */
    fun ageMillis(): Long = provedAt.get()?.let(clock::ageMillis) ?: Long.MAX_VALUE
}
