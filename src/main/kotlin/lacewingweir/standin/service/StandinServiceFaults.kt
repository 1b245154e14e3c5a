package lacewingweir.standin.service

import kotlinx.serialization.Serializable

/**
 * Fault switches of a [StandinService]; the default is no fault.
 *
 * [delayMillis] passes before the run, [hang] neither runs nor answers, [dropAnswer] runs and closes the connection,
 * and [refuse] answers 503 with `X-Run: not-run`. They apply to the next [times] requests, or to all if it is null.
 */
@Serializable
public data class StandinServiceFaults(
    val delayMillis: Long = 0,
    val hang: Boolean = false,
    val dropAnswer: Boolean = false,
    val refuse: Boolean = false,
    val times: Int? = null,
)
