package lacewingweir.protocol.settings

/** The secret that all instances of a fleet share. [toString] hides it to keep it out of logs and messages. */
public class FleetSecret(
    public val value: String,
) {
    override fun equals(other: Any?): Boolean = other is FleetSecret && other.value == value

    override fun hashCode(): Int = value.hashCode()

    override fun toString(): String = "(hidden)"
}
