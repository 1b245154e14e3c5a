package lacewingweir.protocol.operator

import kotlinx.serialization.Serializable

/** A bundle that the instance refused. [number] is zero if the number in the bundle is not trustworthy. */
@Serializable
public data class RefusedBundleReport(
    val number: Long,
    val operationId: String,
    val source: String,
    val reason: String,
)
