package lacewingweir.protocol.etcd

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
internal data class EtcdHeader(
    val revision: Int64 = 0,
)

@Serializable
internal data class EtcdKeyValue(
    val key: EtcdBytes,
    @SerialName("create_revision") val createRevision: Int64 = 0,
    @SerialName("mod_revision") val modRevision: Int64 = 0,
    val version: Int64 = 0,
    val value: EtcdBytes = EtcdBytes.EMPTY,
    val lease: Int64 = 0,
)

/** Reads [key], or all keys from [key] (inclusive) to [rangeEnd] (exclusive). */
@Serializable
internal data class EtcdRangeRequest(
    val key: EtcdBytes,
    @SerialName("range_end") val rangeEnd: EtcdBytes? = null,
    val limit: Int64 = 0,
    @SerialName("min_mod_revision") val minModRevision: Int64 = 0,
)

@Serializable
internal data class EtcdRangeResponse(
    val header: EtcdHeader = EtcdHeader(),
    val kvs: List<EtcdKeyValue> = emptyList(),
    val more: Boolean = false,
    val count: Int64 = 0,
)

@Serializable
internal data class EtcdPutRequest(
    val key: EtcdBytes,
    val value: EtcdBytes = EtcdBytes.EMPTY,
    val lease: Int64 = 0,
)

@Serializable
internal data class EtcdPutResponse(
    val header: EtcdHeader = EtcdHeader(),
)

@Serializable
internal enum class EtcdCompareResult { EQUAL, GREATER, LESS, NOT_EQUAL }

@Serializable
internal enum class EtcdCompareTarget { VERSION, CREATE, MOD, VALUE }

/**
 * A condition of a transaction. [target] names the field that holds the operand. An operand of zero stands for a key
 * that does not exist. The default of the operands is null rather than zero, because defaults are not encoded.
 */
@Serializable
internal data class EtcdCompare(
    val key: EtcdBytes,
    val result: EtcdCompareResult = EtcdCompareResult.EQUAL,
    val target: EtcdCompareTarget = EtcdCompareTarget.VERSION,
    val version: Int64? = null,
    @SerialName("create_revision") val createRevision: Int64? = null,
    @SerialName("mod_revision") val modRevision: Int64? = null,
)

@Serializable
internal data class EtcdRequestOp(
    @SerialName("request_range") val range: EtcdRangeRequest? = null,
    @SerialName("request_put") val put: EtcdPutRequest? = null,
)

@Serializable
internal data class EtcdResponseOp(
    @SerialName("response_range") val range: EtcdRangeResponse? = null,
    @SerialName("response_put") val put: EtcdPutResponse? = null,
)

@Serializable
internal data class EtcdTxnRequest(
    val compare: List<EtcdCompare> = emptyList(),
    val success: List<EtcdRequestOp> = emptyList(),
    val failure: List<EtcdRequestOp> = emptyList(),
)

@Serializable
internal data class EtcdTxnResponse(
    val header: EtcdHeader = EtcdHeader(),
    val succeeded: Boolean = false,
    val responses: List<EtcdResponseOp> = emptyList(),
)

/** The gateway's error object. [code] is a gRPC status code. */
@Serializable
internal data class EtcdError(
    val error: String,
    val code: Int,
    val message: String = error,
)
