package lacewingweir.state.membership

import lacewingweir.state.id.InstanceName

/**
 * The recent rounds of heartbeats that no majority has acknowledged yet.
 *
 * Late acknowledgements of earlier rounds count, so that a round trip longer than the period still gives a proof.
 */
public data class HeartbeatRounds(
    val open: List<HeartbeatRound> = emptyList(),
) {
    /** Adds a round. [voter] is the sender itself if its own vote counts. */
    public fun start(
        number: Long,
        epoch: Long,
        sentMillis: Long,
        voter: InstanceName?,
    ): HeartbeatRounds =
        HeartbeatRounds(open.takeLast(MAX_OPEN - 1) + HeartbeatRound(number, epoch, sentMillis, setOfNotNull(voter)))

    /** Adds an acknowledgement. One for another epoch than that of its round is ignored. */
    public fun acknowledge(
        number: Long,
        epoch: Long,
        from: InstanceName,
    ): HeartbeatRounds =
        HeartbeatRounds(
            open.map { round ->
                if (round.number == number && round.epoch == epoch) {
                    round.copy(acknowledgedBy = round.acknowledgedBy + from)
                } else {
                    round
                }
            },
        )

    /** The newest round of [document]'s epoch that a majority of its members has acknowledged, or null. */
    public fun newestMajorityRound(document: EpochDocument): HeartbeatRound? =
        open.lastOrNull { round ->
            round.epoch == document.epoch &&
                isMajority(document.members.count { it in round.acknowledgedBy }, document.members.size)
        }

    /** Drops the rounds up to [number]. */
    public fun discardThrough(number: Long): HeartbeatRounds = HeartbeatRounds(open.filter { it.number > number })

    public companion object {
        private const val MAX_OPEN = 6

        /** Whether [votes] of [members] are more than half. */
        public fun isMajority(
            votes: Int,
            members: Int,
        ): Boolean = votes * 2 > members
    }
}
