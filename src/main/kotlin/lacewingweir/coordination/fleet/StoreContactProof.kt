package lacewingweir.coordination.fleet

import lacewingweir.state.time.ClockReading
import lacewingweir.state.time.SuspendAwareClock
import java.util.concurrent.atomic.AtomicReference

/**
 * The latest moment at which this instance is known to have applied every change that the store had acknowledged.
 *
 * Withdrawn keys must stop working even on an instance that can't reach the store, so requests with keys are served
 * only while this proof is recent.
 */
internal class StoreContactProof(
    private val clock: SuspendAwareClock,
) {
    private val provedAt = AtomicReference<ClockReading?>(null)

    /** The proved moment, or null before the first proof. */
    val moment: ClockReading?
        get() = provedAt.get()

    /** Records that every change acknowledged up to [moment] has been applied. Earlier moments have no effect. */
    fun prove(moment: ClockReading) {
        provedAt.updateAndGet { known ->
            if (known == null || moment.monotonicMillis > known.monotonicMillis) {
                moment
            } else {
                known
            }
        }
    }

    /** Returns the milliseconds since the proved moment, or [Long.MAX_VALUE] before the first proof. */
    fun ageMillis(): Long = provedAt.get()?.let(clock::ageMillis) ?: Long.MAX_VALUE
}
