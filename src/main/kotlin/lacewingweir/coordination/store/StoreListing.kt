package lacewingweir.coordination.store

/** The entries under a prefix, and the store [revision] at which they were read. */
public class StoreListing(
    public val entries: List<StoreEntry>,
    public val revision: Long,
)
