package lacewingweir.load

/** A request that was due [dueSeconds] after the start of a load run, and its outcome. */
public class ObservedRequest(
    public val dueSeconds: Double,
    public val customer: String,
    public val label: String,
    public val prompt: String,
    public val outcome: RequestOutcome,
)
