package lacewingweir.coordination.store

/** One key of the store with the revision of its last change. Revisions grow over the whole store. */
public class StoreEntry(
    public val key: String,
    public val value: ByteArray,
    public val modRevision: Long,
)
