package lacewingweir.coordination.claims

import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.RouteId

/** Records unrepeatable calls in the configuration store, so that a repeat on any instance doesn't run again. */
public interface ClaimRegister {
    /** Claims the call with this idempotency key. [requestDigest] identifies the request's method, path and body. */
    public suspend fun acquire(
        customer: CustomerId?,
        route: RouteId,
        idempotencyKey: String,
        requestDigest: String,
    ): ClaimResult
}
