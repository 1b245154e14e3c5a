package lacewingweir.coordination.routing

import lacewingweir.state.id.EndpointId

/** Endpoints that must get no new work, for example because the platform lists them as leaving. */
public fun interface LeavingEndpoints {
    /** Whether [endpoint] must get no new work now. Reads memory only. */
    public fun isLeaving(endpoint: EndpointId): Boolean
}
