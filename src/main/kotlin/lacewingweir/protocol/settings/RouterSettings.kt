/**
 * Settings of an instance that runs on its operators' platform: a JSON file, read at the start and again on request.
 */
package lacewingweir.protocol.settings

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import lacewingweir.state.id.FailureDomain

/** Bounds that the platform sets, in the units that the names say. */
@Serializable
internal data class PlatformBounds(
    val keyWithdrawalMillis: Long = 5_000,
    val weightsMillis: Long = 8_000,
    val orderLeaseMillis: Long = 3_000,
    val shutdownSeconds: Double = 8.0,
    val repeatRatio: Double = 0.1,
    val repeatExtra: Double = 10.0,
    val repeatWindowSeconds: Double = 10.0,
    val rateWindowSeconds: Double = 8.0,
)

/**
 * [internalPorts] holds the first and the last port that are free for traffic between instances. Addresses are an IP
 * address and a port.
 */
@Serializable
internal data class RouterSettings(
    val name: String,
    val failureDomain: String,
    val host: String,
    val callerListen: String,
    val readinessListen: String,
    val internalPorts: List<Int>,
    val storeAddress: String,
    val cores: Int = 1,
    val bounds: PlatformBounds = PlatformBounds(),
) {
    val domain: FailureDomain
        get() = FailureDomain(failureDomain)

    /** All mistakes, each with its field. */
    fun errors(): List<String> =
        buildList {
            for ((field, value) in listOf(
                "callerListen" to callerListen,
                "readinessListen" to readinessListen,
                "storeAddress" to storeAddress,
            )) {
                if (HostPort.parse(value) == null) add("$field: \"$value\" is not <IP address>:<port>")
            }
            if (name.isBlank()) add("name: must not be empty")
            if (internalPorts.isEmpty()) add("internalPorts: at least one port is needed")
            if (cores < 1) add("cores: must be at least 1")
            if (bounds.keyWithdrawalMillis <=
                MIN_KEY_WITHDRAWAL_MILLIS
            ) {
                add("bounds.keyWithdrawalMillis: must exceed $MIN_KEY_WITHDRAWAL_MILLIS")
            }
            if (bounds.orderLeaseMillis < 1) add("bounds.orderLeaseMillis: must be positive")
        }

    internal companion object {
        /** A shorter bound leaves no time for a watch call and its margin. */
        const val MIN_KEY_WITHDRAWAL_MILLIS: Long = 1_500

        private val json =
            Json {
                ignoreUnknownKeys = true
                // The template leaves out what a deployment does not set.
                allowTrailingComma = true
            }

        /** Reads [text]. The result is the settings, or all that is wrong with them. */
        fun parse(text: String): RouterSettingsResult {
            val settings =
                try {
                    json.decodeFromString(serializer(), text)
                } catch (e: SerializationException) {
                    return RouterSettingsResult.Invalid(listOf(e.message?.lineSequence()?.first() ?: "malformed JSON"))
                }
            val errors = settings.errors()
            return if (errors.isEmpty()) {
                RouterSettingsResult.Valid(
                    settings,
                )
            } else {
                RouterSettingsResult.Invalid(errors)
            }
        }
    }
}

internal sealed interface RouterSettingsResult {
    class Valid(
        val settings: RouterSettings,
    ) : RouterSettingsResult

    class Invalid(
        val errors: List<String>,
    ) : RouterSettingsResult
}
