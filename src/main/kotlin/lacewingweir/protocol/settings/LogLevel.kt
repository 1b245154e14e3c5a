package lacewingweir.protocol.settings

/** The minimum severity of log events that are written. */
public enum class LogLevel {
    TRACE,
    DEBUG,
    INFO,
    WARN,
    ERROR,
}
