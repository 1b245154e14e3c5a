package lacewingweir.coordination.membership

/** Events of the membership that are counted, for metrics and for randomised runs. */
public enum class MembershipEvent {
    /** This instance founded the first epoch. */
    FOUNDED,

    /** This instance wrote a pending epoch in which it joins. */
    JOIN_PROPOSED,

    /** This instance wrote a pending epoch without silent members. */
    REMOVAL_PROPOSED,

    /** This instance wrote a pending epoch without itself. */
    LEAVE_PROPOSED,

    /** This instance wrote an active epoch after all previous members had confirmed. */
    ACTIVATED_BY_ALL,

    /** This instance wrote an active epoch after a majority had confirmed and the wait had passed. */
    ACTIVATED_BY_MAJORITY,

    /** Another instance changed the epoch first. */
    RACE_LOST,

    /** A write without an answer was settled by reading back. */
    ANSWER_SETTLED,

    /** A proof of contact by a majority moved forward. */
    MAJORITY_PROOF,

    /** The store held an older epoch than this instance. */
    STORE_BEHIND,

    /** An epoch that the store had lost was written back. */
    WRITTEN_BACK,

    /** Two documents of the same epoch contradict each other. */
    CONTRADICTION,

    /** A restarted instance may vote without having read the store. */
    SETTLED_BY_PEERS,

    /** A later run of the same name has registered. */
    SUPERSEDED,
}
