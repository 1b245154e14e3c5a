package lacewingweir.protocol.operator

import kotlinx.serialization.Serializable

/** A bundle that the instance refused. [number] is zero if it could not be trusted. */
@Serializable
public data class RefusedBundleReport(
    val number: Long,
    val operationId: String,
    val source: String,
    val reason: String,
)
