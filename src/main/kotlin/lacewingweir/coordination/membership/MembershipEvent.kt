package lacewingweir.coordination.membership

/** Membership events that are counted for metrics and for randomized tests. */
public enum class MembershipEvent {
    /** This instance created the first epoch. */
    FOUNDED,

    /** This instance wrote a pending epoch in which it joins. */
    JOIN_PROPOSED,

    /** This instance wrote a pending epoch without failed members. */
    REMOVAL_PROPOSED,

    /** This instance wrote a pending epoch without itself. */
    LEAVE_PROPOSED,

    /** This instance wrote an active epoch after all previous members had confirmed. */
    ACTIVATED_BY_ALL,

    /** This instance wrote an active epoch after a majority had confirmed and the activation wait had passed. */
    ACTIVATED_BY_MAJORITY,

    /** Another instance changed the epoch first. */
    RACE_LOST,

    /** A write without a response was found by reading back. */
    ANSWER_SETTLED,

    /** A majority acknowledged a newer round of heartbeats, which renews the contact proof. */
    MAJORITY_PROOF,

    /** The store held an older epoch than this instance. */
    STORE_BEHIND,

    /** This instance wrote back an epoch that the store had lost, or an epoch that reconciles two documents. */
    WRITTEN_BACK,

    /** Two documents of the same epoch contradict each other. */
    CONTRADICTION,

    /** The reports of its peers allowed this restarted instance to vote without having read the store. */
    SETTLED_BY_PEERS,

    /** A later run of the same name has registered. */
    SUPERSEDED,
}
