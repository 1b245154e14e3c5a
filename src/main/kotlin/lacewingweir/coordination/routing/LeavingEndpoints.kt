package lacewingweir.coordination.routing

import lacewingweir.state.id.EndpointId

/** Tells which endpoints must not receive new requests, for example because the platform lists them as leaving. */
public fun interface LeavingEndpoints {
    /** Returns whether [endpoint] must not receive new requests now. Does no I/O. */
    public fun isLeaving(endpoint: EndpointId): Boolean
}
