package lacewingweir.standin.service

import kotlinx.serialization.Serializable

/** Response body of a [StandinService]. [run] is the number of the run among the runs with the same [key], from 1. */
@Serializable
public data class StandinServiceResponse(
    val service: String,
    val method: String,
    val path: String,
    val query: String,
    val key: String,
    val run: Int,
    val customer: String?,
    val bodyBytes: Int,
)
