package lacewingweir.coordination.store

/** A key of the store with its value and the revision of its last change. Revisions are store-wide and increase. */
public class StoreEntry(
    public val key: String,
    public val value: ByteArray,
    public val modRevision: Long,
)
