package lacewingweir.cli.measure

/** A load pattern or fault during the measurement of a cell. [label] is its name on the command line. */
internal enum class MeasurementScenario(
    val label: String,
) {
    /** Steady load without faults. */
    CALM("calm"),

    /** The frequently used prefixes change every three seconds. */
    HOT_SHIFT("hot-shift"),

    /** One customer sends five times its permitted rate. */
    FLOOD("flood"),

    /** One engine aborts its requests, loses its cache and hangs for a third of the measured time. */
    ENGINE_CRASH("engine-crash"),

    /** The engines of one failure domain refuse connections until the measurement ends. */
    DOMAIN_LOSS("domain-loss"),

    /** A bundle with new weights is published. */
    ROLLOUT("rollout"),

    /** All instances except one crash at the same time and are restarted. */
    HERD_RESTART("herd-restart"),

    /** The store refuses connections until the measurement ends. */
    STORE_OUTAGE("store-outage"),
    ;

    companion object {
        fun byLabel(label: String): MeasurementScenario? = entries.firstOrNull { it.label == label }
    }
}
