package lacewingweir.state.keys

import lacewingweir.state.bundle.Bundle
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.KeyDigest
import java.security.MessageDigest

/**
 * The keys known to an instance: the keys of the bundle in force, and the keys granted or withdrawn outside the bundle.
 *
 * Instances of this class are immutable. Merging records is commutative, associative and idempotent, so instances that
 * received the same records in any order hold equal directories. A withdrawal takes precedence over every grant, in the
 * bundle or outside it, regardless of the order of arrival.
 */
public class KeyDirectory private constructor(
    private val records: Map<KeyDigest, KeyRecord>,
    private val bundleKeys: Map<KeyDigest, KeyRecord>,
    private val customers: Set<CustomerId>,
) {
    /**
     * The weighted number of records, which peers compare to find out who lacks records. A grant counts 1 and a
     * withdrawal 2, so that the withdrawal of a granted key changes the count as well.
     */
    public val weightedRecordCount: Int = records.values.sumOf { weightOf(it) }

    /** Returns all records of keys granted or withdrawn outside the bundle. */
    public fun records(): Collection<KeyRecord> = records.values

    /** Returns the record of [digest] outside the bundle, or null if there is none. */
    public fun record(digest: KeyDigest): KeyRecord? = records[digest]

    /** Returns a directory with [added] merged in, or this directory if nothing changes. */
    public fun mergedWith(added: Collection<KeyRecord>): KeyDirectory {
        // Copying takes time proportional to the number of records, so it is skipped if nothing changes.
        val changes = added.filter { record -> records[record.digest]?.let { prevailing(it, record) != it } ?: true }
        if (changes.isEmpty()) return this
        val merged = HashMap(records)
        for (record in changes) merged.merge(record.digest, record, ::prevailing)
        return KeyDirectory(merged, bundleKeys, customers)
    }

    /** Returns a directory with the keys and customers of [bundle] in place of those of the previous bundle. */
    public fun withBundle(bundle: Bundle): KeyDirectory {
        val keys = HashMap<KeyDigest, KeyRecord>()
        for (customer in bundle.customers) {
            customer.keys.associateWithTo(keys) { KeyRecord(it, customer.id, KeyStatus.GRANTED) }
        }
        return KeyDirectory(records, keys, bundle.customers.map { it.id }.toSet())
    }

    /**
     * Returns the customer whose key has this [digest], or null if the key is unknown or withdrawn, or if the bundle in
     * force does not contain the customer.
     */
    public fun customerOf(digest: KeyDigest): CustomerId? {
        val record = records[digest]
        if (record?.status == KeyStatus.WITHDRAWN) return null
        val grant = bundleKeys[digest] ?: record ?: return null
        return grant.customer.takeIf { digestsEqual(grant.digest, digest) && it in customers }
    }

    /** Compares in constant time, so that the duration reveals nothing about stored digests. */
    private fun digestsEqual(
        stored: KeyDigest,
        presented: KeyDigest,
    ): Boolean = MessageDigest.isEqual(stored.value.encodeToByteArray(), presented.value.encodeToByteArray())

    public companion object {
        /** A directory without keys and customers. */
        public val EMPTY: KeyDirectory = KeyDirectory(emptyMap(), emptyMap(), emptySet())

        /** Returns the digest of a caller's [key]: its SHA-256 hash in lower-case hexadecimal. */
        public fun digestOf(key: String): KeyDigest {
            val bytes = MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray())
            return KeyDigest(bytes.joinToString("") { "%02x".format(it) })
        }

        private fun weightOf(record: KeyRecord): Int = if (record.status == KeyStatus.WITHDRAWN) 2 else 1

        /**
         * Returns the record that takes precedence: a withdrawal over a grant, otherwise the record with the lower
         * customer id, so that the result does not depend on the order.
         */
        private fun prevailing(
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
