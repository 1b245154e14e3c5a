package lacewingweir.state.id

import kotlinx.serialization.Serializable

/** The number of a published bundle. Increases by one with each publication. */
@Serializable
@JvmInline
public value class BundleNumber(
    public val value: Long,
) : Comparable<BundleNumber> {
    override fun compareTo(other: BundleNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** The number used when no bundle is known. */
        public val NONE: BundleNumber = BundleNumber(0)
    }
}
