package lacewingweir.coordination.rate

import lacewingweir.coordination.membership.BaseShare
import lacewingweir.state.bundle.Customer
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.InstanceName
import lacewingweir.state.time.MonotonicClock

/** What a [CustomerRate] needs from its instance. Nothing here blocks. */
internal interface RateOwner {
    val settings: RateSettings
    val metrics: RateMetrics
    val clock: MonotonicClock

    /** When this process started. */
    val startMillis: Long

    /** True once the instance returns its loans to leave. */
    val stopped: Boolean

    fun share(): BaseShare?

    fun proofAgeMillis(): Long

    fun limit(id: CustomerId): Customer?

    fun peerNames(): List<InstanceName>

    /** A number that this process never used and no earlier process of the same name is likely to have used. */
    fun nextNumber(): Long

    /** Varies [millis] by up to half, so that refused instances don't ask in step. */
    fun jittered(millis: Long): Long

    /** Makes a later return of [loan] reach [customer]. */
    fun loanGiven(
        loan: Long,
        customer: CustomerRate,
    )

    /** Makes the answer to [request] reach [customer]. */
    fun asked(
        request: Long,
        customer: CustomerRate,
    )

    fun reservation(
        customer: CustomerRate,
        tokens: Long,
    ): Reservation
}
