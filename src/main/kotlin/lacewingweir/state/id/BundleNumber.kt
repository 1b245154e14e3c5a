package lacewingweir.state.id

import kotlinx.serialization.Serializable

/** Number of a published bundle. Grows by one with each publication; zero means that no bundle is known. */
@Serializable
@JvmInline
public value class BundleNumber(
    public val value: Long,
) : Comparable<BundleNumber> {
    override fun compareTo(other: BundleNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** Stands for "no bundle known". */
        public val NONE: BundleNumber = BundleNumber(0)
    }
}
