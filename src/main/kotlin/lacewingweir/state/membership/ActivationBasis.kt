package lacewingweir.state.membership

/** The condition that allows a pending epoch to become active. */
public enum class ActivationBasis {
    /** Every previous member has confirmed that it reduced its share. */
    ALL_CONFIRMED,

    /**
     * A majority of the previous members confirmed the epoch at least [MembershipLimits.activationWaitMillis] ago.
     * The contact proofs of the other members, and the loans that they granted, have expired since then.
     */
    MAJORITY_AFTER_WAIT,
}
