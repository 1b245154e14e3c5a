package lacewingweir.protocol.etcd

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Requests a lease of [ttlSeconds]. The store chooses the id if [id] is zero. */
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

/** Requests that a lease is renewed or revoked, depending on the path. */
@Serializable
internal data class EtcdLeaseRequest(
    @SerialName("ID") val id: Int64,
)

/**
 * The response to a keep-alive. The gateway wraps the messages of a stream in `result`. A TTL of zero means that the
 * lease has expired.
 */
@Serializable
internal data class EtcdLeaseKeepAliveResponse(
    val result: EtcdLeaseGrantResponse,
)

@Serializable
internal data class EtcdLeaseRevokeResponse(
    val header: EtcdHeader = EtcdHeader(),
)
