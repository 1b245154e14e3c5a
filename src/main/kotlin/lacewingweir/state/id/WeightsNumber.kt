package lacewingweir.state.id

/** The version number of a model's weights. Later versions have higher numbers. */
@JvmInline
internal value class WeightsNumber(
    val value: Long,
) : Comparable<WeightsNumber> {
    override fun compareTo(other: WeightsNumber) = value.compareTo(other.value)

    override fun toString() = value.toString()
}
