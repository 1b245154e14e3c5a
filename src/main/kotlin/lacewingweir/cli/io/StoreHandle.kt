package lacewingweir.cli.io

import lacewingweir.coordination.store.ConfigStore

/** A connection to the store. Closing it releases the resources of the connection through [onClose]. */
public class StoreHandle(
    public val store: ConfigStore,
    private val onClose: () -> Unit = {},
) : AutoCloseable {
    override fun close(): Unit = onClose()
}
