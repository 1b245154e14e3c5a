package lacewingweir.standin.service

import kotlinx.serialization.Serializable

/** Answer of a [StandinService]. [key] is the key that the run was counted under, [run] its number for that key. */
@Serializable
public data class StandinServiceAnswer(
    val service: String,
    val method: String,
    val path: String,
    val query: String,
    val key: String,
    val run: Int,
    val customer: String?,
    val bodyBytes: Int,
)
