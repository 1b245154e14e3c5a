package lacewingweir.state.membership

/** Why a pending epoch may become active. */
public enum class ActivationBasis {
    /** Every previous member has shrunk. */
    ALL_CONFIRMED,

    /** A majority of the previous members has shrunk long enough ago that the others' proofs have ended. */
    MAJORITY_AFTER_WAIT,
}
