package lacewingweir.coordination.rate

import lacewingweir.state.id.CustomerId

/** Admits requests within the fleet-wide rate limit of each customer. */
public interface RateAdmission {
    /**
     * Reserves [tokens] for one request of [customer].
     *
     * Suspends for a limited time, to borrow tokens from other instances, before it refuses the request.
     */
    public suspend fun reserve(
        customer: CustomerId,
        tokens: Long,
    ): ReserveResult
}
