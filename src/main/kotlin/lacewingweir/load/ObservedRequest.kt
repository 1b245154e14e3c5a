package lacewingweir.load

/** A request that was due at [dueSeconds] of a load run, and what became of it. */
public class ObservedRequest(
    public val dueSeconds: Double,
    public val customer: String,
    public val label: String,
    public val prompt: String,
    public val outcome: RequestOutcome,
)
