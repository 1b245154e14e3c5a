package lacewingweir.cli.measure

/** What happens while a cell is measured, by its name on the command line. */
internal enum class MeasuredScenario(
    val label: String,
) {
    CALM("calm"),

    /** Other prefixes become hot every three seconds. */
    HOT_SHIFT("hot-shift"),

    /** One customer sends five times its rate. */
    FLOOD("flood"),

    /** One engine loses its cache, cuts its requests and hangs, and answers again after a third of the time. */
    ENGINE_CRASH("engine-crash"),

    /** The engines of one failure domain refuse connections until the end. */
    DOMAIN_LOSS("domain-loss"),

    /** A bundle with new weights is published. */
    ROLLOUT("rollout"),

    /** All instances but one crash at once and start again. */
    HERD_RESTART("herd-restart"),

    /** The store refuses connections until the end. */
    STORE_OUTAGE("store-outage"),
    ;

    companion object {
        fun byLabel(label: String): MeasuredScenario? = entries.firstOrNull { it.label == label }
    }
}
