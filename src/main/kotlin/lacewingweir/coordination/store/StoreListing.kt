package lacewingweir.coordination.store

/** Entries under a prefix, and the [revision] of the store at which they were read. */
public class StoreListing(
    public val entries: List<StoreEntry>,
    public val revision: Long,
)
