package lacewingweir.transport.store

/** The address of one member of the platform's key-value service. [host] is an IP address. */
public data class StoreAddress(
    val host: String,
    val port: Int,
)
