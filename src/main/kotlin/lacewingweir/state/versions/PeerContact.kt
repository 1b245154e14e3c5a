package lacewingweir.state.versions

/**
 * Tells whether an instance hears enough peers to decide on phases. Without their digests, it knows neither the answers
 * that they got nor their calls at old endpoints.
 */
internal class PeerContact {
    private val heardMillis = HashMap<String, Long>()

    fun onDigest(
        peer: String,
        nowMillis: Long,
    ) {
        heardMillis[peer] = nowMillis
    }

    /** Returns whether digests have come lately from at least half of the others of [instances]. */
    fun isSufficient(
        instances: Int,
        nowMillis: Long,
    ): Boolean {
        heardMillis.values.removeIf { nowMillis - it > MAX_AGE_MILLIS }
        return heardMillis.size * 2 >= instances - 1
    }

    private companion object {
        /** Digests come every 0.25 to 1.2 s, and two in a row may be lost. */
        const val MAX_AGE_MILLIS = 4_000L
    }
}
