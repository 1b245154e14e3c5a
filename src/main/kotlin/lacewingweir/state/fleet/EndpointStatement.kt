package lacewingweir.state.fleet

/**
 * What an endpoint says about itself in a response.
 *
 * An endpoint that is [leaving] is about to exit. It accepts no requests from this instance for [pauseMillis], which is
 * zero in most responses. A brittle endpoint falls over if it has to refuse more than [survivedRefusals] requests a
 * second for want of room, which it did with this one if it [lacksRoom].
 */
internal data class EndpointStatement(
    val leaving: Boolean = false,
    val pauseMillis: Long = 0,
    val survivedRefusals: Double? = null,
    val lacksRoom: Boolean = false,
) {
    companion object {
        /** The statement of a response that says nothing about its endpoint. */
        val NONE = EndpointStatement()
    }
}
