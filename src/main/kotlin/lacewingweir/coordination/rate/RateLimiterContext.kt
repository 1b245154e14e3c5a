package lacewingweir.coordination.rate

import lacewingweir.coordination.membership.BaseShare
import lacewingweir.state.bundle.Customer
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.InstanceName
import lacewingweir.state.time.MonotonicClock

/** Services of the instance that a [CustomerRateLimiter] uses. No function blocks. */
internal interface RateLimiterContext {
    val settings: RateSettings
    val metrics: RateMetrics
    val clock: MonotonicClock

    /** The start of this process on [clock], in milliseconds. */
    val startMillis: Long

    /** Whether the instance is shutting down and returning its loans. */
    val stopping: Boolean

    /** Returns the base share of this instance, or null if it has none. */
    fun share(): BaseShare?

    /** Returns the age of the last proof of contact. */
    fun proofAgeMillis(): Long

    /** Returns the rate and burst of the customer, or null if the bundle does not contain it. */
    fun findCustomer(id: CustomerId): Customer?

    /** Returns the names of the connected peers. */
    fun peerNames(): List<InstanceName>

    /**
     * Returns an id for a loan or a loan request. This process has not used it before, and an earlier process of the
     * same name is unlikely to have used it.
     */
    fun nextId(): Long

    /** Varies [millis] randomly by up to half, so that refused instances do not retry at the same time. */
    fun withJitter(millis: Long): Long

    /** Makes [RateAgent] pass a return of [loan] to [limiter]. */
    fun registerLoan(
        loan: Long,
        limiter: CustomerRateLimiter,
    )

    /** Makes [RateAgent] pass a refusal of [request] to [limiter]. A grant names its customer instead. */
    fun registerRequest(
        request: Long,
        limiter: CustomerRateLimiter,
    )

    /** Creates a reservation of [tokens] that are already reserved in [limiter]. */
    fun createReservation(
        limiter: CustomerRateLimiter,
        tokens: Long,
    ): Reservation
}
