package lacewingweir.transport.gateway

/** Why a request is stopped before its answer is whole. */
internal enum class StopReason {
    DISCONNECTED,
    WITHDRAWN,
}
