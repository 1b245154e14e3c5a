package lacewingweir.coordination.claims

import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.RouteId

/** Records calls that must not be repeated, so that a retry on any instance does not run the call again. */
public interface ClaimRegister {
    /**
     * Claims the call of [customer] on [route] with [idempotencyKey]. [requestDigest] identifies the request's method,
     * path and body.
     */
    public suspend fun acquire(
        customer: CustomerId?,
        route: RouteId,
        idempotencyKey: String,
        requestDigest: String,
    ): ClaimResult
}
