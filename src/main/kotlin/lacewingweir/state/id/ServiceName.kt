package lacewingweir.state.id

/** The name of a group of endpoints that serve the same requests. */
@JvmInline
internal value class ServiceName(
    val value: String,
) {
    override fun toString() = value
}
