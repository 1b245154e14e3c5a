package lacewingweir.standin.service

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Faults that a [StandinService] injects. The default is no fault.
 *
 * @property delayMillis the delay before the run.
 * @property hang whether calls are neither run nor answered.
 * @property dropResponse whether calls are run and the connection is closed without a response.
 * @property refuse whether calls are answered with status 503 and `X-Run: not-run`.
 * @property times the number of calls to which the faults apply, or null for all calls.
 */
@Serializable
public data class StandinServiceFaults(
    val delayMillis: Long = 0,
    val hang: Boolean = false,
    @SerialName("dropAnswer") val dropResponse: Boolean = false,
    val refuse: Boolean = false,
    val times: Int? = null,
)
