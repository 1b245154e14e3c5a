package lacewingweir.protocol.settings

/** Least severity of log lines that are written. */
public enum class LogLevel {
    TRACE,
    DEBUG,
    INFO,
    WARN,
    ERROR,
}
