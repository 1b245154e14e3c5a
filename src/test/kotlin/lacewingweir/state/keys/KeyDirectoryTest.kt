package lacewingweir.state.keys

import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Customer
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.KeyDigest
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNull
import java.util.Random

internal class KeyDirectoryTest {
    private val digest = KeyDirectory.digestOf("secret")
    private val granted = KeyRecord(digest, CustomerId("c1"), KeyStatus.GRANTED)
    private val withdrawn = granted.copy(status = KeyStatus.WITHDRAWN)

    private fun bundle(keys: List<KeyDigest> = emptyList()): Bundle =
        Bundle(
            BundleNumber(1),
            listOf(Customer(CustomerId("c1"), 1, 1, keys = keys)),
            listOf(),
            listOf(),
            listOf(),
        )

    @Test
    fun `keys of the bundle and granted keys resolve to their customer`() {
        expectThat(digest.value).isEqualTo("2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b")
        val directory = KeyDirectory.EMPTY.withBundle(bundle(listOf(digest)))
        expectThat(directory.customerOf(digest)).isEqualTo(CustomerId("c1"))
        expectThat(directory.customerOf(KeyDirectory.digestOf("other"))).isNull()
        expectThat(directory.withBundle(bundle()).customerOf(digest)).isNull()
        expectThat(
            directory.withBundle(bundle()).mergedWith(listOf(granted)).customerOf(digest),
        ).isEqualTo(CustomerId("c1"))
    }

    @Test
    fun `a granted key of a customer missing from the bundle is not accepted`() {
        val record = granted.copy(customer = CustomerId("gone"))
        expectThat(
            KeyDirectory.EMPTY
                .withBundle(bundle())
                .mergedWith(listOf(record))
                .customerOf(digest),
        ).isNull()
    }

    @Test
    fun `the withdrawal of a granted key changes the weighted record count`() {
        val before = KeyDirectory.EMPTY.mergedWith(listOf(granted))
        expectThat(before.mergedWith(listOf(withdrawn)).weightedRecordCount).isGreaterThan(before.weightedRecordCount)
    }

    // Guards against a withdrawn key that a late or repeated grant makes valid again.
    @Property
    fun `a tombstone takes precedence over grants and bundles in any order of arrival`(
        @ForAll @Size(min = 1, max = 12) arrivals: List<
            @IntRange(min = 0, max = 3)
            Int,
        >,
        @ForAll seed: Long,
    ) {
        val steps = (arrivals + 4).shuffled(Random(seed))
        val result =
            steps.fold(KeyDirectory.EMPTY) { directory, step ->
                when (step) {
                    0 -> directory.mergedWith(listOf(granted))
                    1 -> directory.mergedWith(listOf(granted.copy(customer = CustomerId("c2"))))
                    2 -> directory.withBundle(bundle(listOf(digest)))
                    3 -> directory.withBundle(bundle())
                    else -> directory.mergedWith(listOf(withdrawn))
                }
            }
        expectThat(result.withBundle(bundle(listOf(digest))).customerOf(digest)).isNull()
        expectThat(result.record(digest)).isEqualTo(withdrawn)
    }
}
