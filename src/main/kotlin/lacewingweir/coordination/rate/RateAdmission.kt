package lacewingweir.coordination.rate

import lacewingweir.state.id.CustomerId

/** Admits requests within each customer's rate over the whole fleet. */
public interface RateAdmission {
    /** Reserves [tokens] for one request. Waits a bounded time for tokens of other instances before it refuses. */
    public suspend fun reserve(
        customer: CustomerId,
        tokens: Long,
    ): ReserveResult
}
