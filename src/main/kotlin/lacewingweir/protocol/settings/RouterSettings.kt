/**
 * Settings of an instance that runs on its operators' platform: a JSON file that is read at startup and again on
 * request.
 */
package lacewingweir.protocol.settings

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import lacewingweir.state.id.FailureDomain

/**
 * Limits that the platform prescribes.
 *
 * @property keyWithdrawalMillis the maximum time until a withdrawn key is refused.
 * @property weightsMillis the maximum time for which engines may serve outdated weights.
 * @property orderLeaseMillis the term of the lease under which one instance coordinates the loading of weights.
 * @property shutdownSeconds the maximum duration of a shutdown.
 * @property repeatRatio the maximum number of repeats per request within [repeatWindowSeconds].
 * @property repeatExtra the number of repeats that the fleet may send in addition to [repeatRatio] within
 *   [repeatWindowSeconds].
 * @property rateWindowSeconds the length of the window over which the customers' rates are limited.
 * @property exposeShare the share of a service's requests that a bad software version may receive in a rollout, or null
 *   if the operators don't order rollouts of software versions.
 * @property exposeSlack the number of requests that it may receive in addition to [exposeShare].
 */
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
    val exposeShare: Double? = null,
    val exposeSlack: Double = 0.0,
)

/**
 * Parts of the platform's terms that apply to a deployment.
 *
 * @property pressure whether callers compete for scarce capacity, so that waiting and refused requests are ranked.
 */
@Serializable
internal data class Agreements(
    val pressure: Boolean = false,
)

/**
 * How requests are assigned to endpoints.
 *
 * @property learnSpeeds whether the speed of each endpoint is learned and used where the endpoints of a service differ.
 */
@Serializable
internal data class PlacementSettings(
    val learnSpeeds: Boolean = false,
)

/**
 * Settings of an instance on its operators' platform.
 *
 * [internalPorts] contains the first and the last port of the range for traffic between instances. Addresses have the
 * form `<IP address>:<port>`.
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
    val agreements: Agreements = Agreements(),
    val placement: PlacementSettings = PlacementSettings(),
) {
    val domain: FailureDomain
        get() = FailureDomain(failureDomain)

    /** Returns a message with the name of the field for each invalid field. */
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
            if (bounds.exposeShare != null && bounds.exposeShare !in 0.0..1.0) {
                add("bounds.exposeShare: must be between 0 and 1")
            }
            if (bounds.exposeSlack < 0.0) add("bounds.exposeSlack: must not be negative")
        }

    internal companion object {
        /** Lower limit of the withdrawal time, which must cover a watch call of the store and a safety margin. */
        const val MIN_KEY_WITHDRAWAL_MILLIS: Long = 1_500

        private val json =
            Json {
                ignoreUnknownKeys = true
                // The platform's template omits unset fields and can leave a comma after the last one.
                allowTrailingComma = true
            }

        /** Parses and validates [text]. Returns either the settings or all errors. */
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
