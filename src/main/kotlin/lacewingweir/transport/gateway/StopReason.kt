package lacewingweir.transport.gateway

/** The reason for which a request is stopped before its response is complete. */
internal enum class StopReason {
    CALLER_DISCONNECTED,
    KEY_WITHDRAWN,
}
