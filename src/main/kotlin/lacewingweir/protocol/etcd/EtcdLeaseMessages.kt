package lacewingweir.protocol.etcd

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Asks for a lease of [ttlSeconds]; the store chooses the id if [id] is zero. */
@Serializable
internal data class EtcdLeaseGrantRequest(
    @SerialName("TTL") val ttlSeconds: Int64,
    @SerialName("ID") val id: Int64 = 0,
)

@Serializable
internal data class EtcdLeaseGrantResponse(
    val header: EtcdHeader = EtcdHeader(),
    @SerialName("ID") val id: Int64 = 0,
    @SerialName("TTL") val ttlSeconds: Int64 = 0,
    val error: String = "",
)

@Serializable
internal data class EtcdLeaseRequest(
    @SerialName("ID") val id: Int64,
)

/** Answer to a keep-alive. The gateway wraps messages of a stream in `result`. A TTL of zero means that it ended. */
@Serializable
internal data class EtcdLeaseKeepAliveResponse(
    val result: EtcdLeaseGrantResponse,
)

@Serializable
internal data class EtcdLeaseRevokeResponse(
    val header: EtcdHeader = EtcdHeader(),
)
