package lacewingweir.state.id

/** Number of a model's weights. Operators name ever higher ones. */
@JvmInline
internal value class WeightsNumber(
    val value: Long,
) : Comparable<WeightsNumber> {
    override fun compareTo(other: WeightsNumber) = value.compareTo(other.value)

    override fun toString() = value.toString()
}
