package lacewingweir.transport.store

/**
 * How the platform's key-value service is reached.
 *
 * [callTimeoutMillis] bounds a whole call, over all [addresses] that it tries. [connectTimeoutMillis] bounds one
 * connection attempt, so that a silent address leaves time for the next one.
 */
public data class EtcdStoreSettings(
    val addresses: List<StoreAddress>,
    val callTimeoutMillis: Long = 800,
    val connectTimeoutMillis: Long = 300,
) {
    init {
        require(addresses.isNotEmpty()) { "at least one store address is needed" }
        require(callTimeoutMillis > 0 && connectTimeoutMillis > 0) { "timeouts must be positive" }
    }
}
