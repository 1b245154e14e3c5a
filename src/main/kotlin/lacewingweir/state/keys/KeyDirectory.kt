package lacewingweir.state.keys

import lacewingweir.state.bundle.Bundle
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.KeyDigest
import java.security.MessageDigest

/**
 * The keys known to an instance: those of the bundle in force, and the records granted or withdrawn outside it.
 *
 * Immutable. Merging is commutative, associative and idempotent, so instances that saw the same records in any order
 * hold the same directory. A withdrawal wins over every grant, in the bundle or outside it, whatever arrives later.
 */
public class KeyDirectory private constructor(
    private val records: Map<KeyDigest, KeyRecord>,
    private val bundleKeys: Map<KeyDigest, KeyRecord>,
    private val customers: Set<CustomerId>,
) {
    /**
     * Measure of the records held, for comparison between peers: a grant counts one and a withdrawal two, so that the
     * withdrawal of a granted key changes the measure too.
     */
    public val weightedRecordCount: Int = records.values.sumOf { weight(it) }

    /** All records outside the bundle. */
    public fun records(): Collection<KeyRecord> = records.values

    /** The record of [digest], or null. */
    public fun record(digest: KeyDigest): KeyRecord? = records[digest]

    /** The directory with [added] merged in; this directory itself if nothing changes. */
    public fun mergedWith(added: Collection<KeyRecord>): KeyDirectory {
        // The copy costs time for every record held, so it is only made if something changes.
        val changes = added.filter { record -> records[record.digest]?.let { stronger(it, record) != it } ?: true }
        if (changes.isEmpty()) return this
        val merged = HashMap(records)
        for (record in changes) merged.merge(record.digest, record, ::stronger)
        return KeyDirectory(merged, bundleKeys, customers)
    }

    /** The directory with the keys and customers of [bundle] in place of those of an earlier bundle. */
    public fun withBundle(bundle: Bundle): KeyDirectory {
        val keys = HashMap<KeyDigest, KeyRecord>()
        for (customer in bundle.customers) {
            customer.keys.associateWithTo(keys) { KeyRecord(it, customer.id, KeyStatus.GRANTED) }
        }
        return KeyDirectory(records, keys, bundle.customers.map { it.id }.toSet())
    }

    /**
     * The customer whose key has this digest. Null if the key is unknown or withdrawn, or if the bundle in force does
     * not have the customer.
     */
    public fun customerOf(digest: KeyDigest): CustomerId? {
        val record = records[digest]
        if (record?.status == KeyStatus.WITHDRAWN) return null
        val grant = bundleKeys[digest] ?: record ?: return null
        return grant.customer.takeIf { sameDigest(grant.digest, digest) && it in customers }
    }

    /** Compares in constant time, so that the time taken tells nothing about a digest that is held. */
    private fun sameDigest(
        held: KeyDigest,
        presented: KeyDigest,
    ): Boolean = MessageDigest.isEqual(held.value.encodeToByteArray(), presented.value.encodeToByteArray())

    public companion object {
        /** A directory without keys and customers. */
        public val EMPTY: KeyDirectory = KeyDirectory(emptyMap(), emptyMap(), emptySet())

        /** The digest of a caller's key: its SHA-256 in lower-case hexadecimal. */
        public fun digestOf(key: String): KeyDigest {
            val bytes = MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray())
            return KeyDigest(bytes.joinToString("") { "%02x".format(it) })
        }

        private fun weight(record: KeyRecord): Int = if (record.status == KeyStatus.WITHDRAWN) 2 else 1

        /** A withdrawal wins; among records of the same status the lower customer id, so that order has no effect. */
        private fun stronger(
            a: KeyRecord,
            b: KeyRecord,
        ): KeyRecord =
            when {
                a.status != b.status -> if (a.status == KeyStatus.WITHDRAWN) a else b
                a.customer.value <= b.customer.value -> a
                else -> b
            }
    }
}
