package lacewingweir.state.membership

import lacewingweir.state.id.InstanceName

/**
 * The recent rounds of heartbeats that no majority has acknowledged yet.
 *
 * Late acknowledgements of earlier rounds count, so that a round trip longer than the heartbeat period can still prove
 * contact with a majority.
 */
public data class HeartbeatRounds(
    val open: List<HeartbeatRound> = emptyList(),
) {
    /** Adds a round and drops the oldest if there are too many. [voter] is the sender, or null if it may not vote. */
    public fun start(
        number: Long,
        epoch: Long,
        sentMillis: Long,
        voter: InstanceName?,
    ): HeartbeatRounds =
        HeartbeatRounds(
            open.takeLast(MAX_OPEN_ROUNDS - 1) + HeartbeatRound(number, epoch, sentMillis, setOfNotNull(voter)),
        )

    /** Adds an acknowledgement. Ignores it if [epoch] differs from the epoch of round [number]. */
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

    /** Returns the newest round of [document]'s epoch that a majority of its members has acknowledged, or null. */
    public fun newestMajorityRound(document: EpochDocument): HeartbeatRound? =
        open.lastOrNull { round ->
            round.epoch == document.epoch &&
                isMajority(document.members.count { it in round.acknowledgedBy }, document.members.size)
        }

    /** Removes the rounds up to and including [number]. */
    public fun discardThrough(number: Long): HeartbeatRounds = HeartbeatRounds(open.filter { it.number > number })

    public companion object {
        private const val MAX_OPEN_ROUNDS = 6

        /** Returns whether [votes] are more than half of [members]. */
        public fun isMajority(
            votes: Int,
            members: Int,
        ): Boolean = votes * 2 > members
    }
}
