/**
 * Revisions of a store that can be restored from an older copy.
 *
 * A restored store gives revisions out again. Its era, which rises with each restoration, is therefore the upper part
 * of the revisions that [ClusterStore] uses, so that later ones are greater and those of different eras are never
 * equal. Zero, the revision of an item that doesn't exist, belongs to no era.
 */
package lacewingweir.coordination.store

/** Combines the [revision] that the store has given out with the [era] in which it did. */
internal fun revisionInEra(
    era: Long,
    revision: Long,
): Long = if (revision == 0L) 0 else (era shl REVISION_BITS) or revision

/** Returns the era in which [revision] was given out. */
internal fun eraOf(revision: Long): Long = revision ushr REVISION_BITS

/** Returns [revision] as the store has given it out. */
internal fun revisionWithoutEra(revision: Long): Long = revision and (1L shl REVISION_BITS) - 1

/** Leaves room for millions of changes an hour and, in the integers that JSON transports exactly, for 100,000 eras. */
private const val REVISION_BITS = 36
