package lacewingweir.cli.io

import lacewingweir.coordination.store.ConfigStore

/** A store with what has to be closed after its use. */
public class StoreHandle(
    public val store: ConfigStore,
    private val onClose: () -> Unit = {},
) : AutoCloseable {
    override fun close(): Unit = onClose()
}
