package lacewingweir.transport.store

/**
 * Addresses and timeouts for calls to the platform's key-value service.
 *
 * [callTimeoutMillis] limits a whole call, including attempts at several [addresses]. [connectTimeoutMillis] limits a
 * single connection attempt, so that an unresponsive address leaves time for the next one.
 */
public data class EtcdStoreSettings(
    val addresses: List<StoreAddress>,
    val callTimeoutMillis: Long = 800,
    val connectTimeoutMillis: Long = 300,
) {
    init {
        require(addresses.isNotEmpty()) { "at least one store address is required" }
        require(callTimeoutMillis > 0 && connectTimeoutMillis > 0) { "timeouts must be positive" }
    }
}
