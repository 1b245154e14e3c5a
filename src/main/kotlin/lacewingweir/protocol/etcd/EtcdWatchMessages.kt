package lacewingweir.protocol.etcd

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
internal data class EtcdWatchRequest(
    @SerialName("create_request") val create: EtcdWatchCreate,
)

/**
 * Watches [key], or all keys from [key] (inclusive) to [rangeEnd] (exclusive). Events are sent from [startRevision]
 * on. If it is zero, only events that occur after the start of the watch are sent.
 */
@Serializable
internal data class EtcdWatchCreate(
    val key: EtcdBytes,
    @SerialName("range_end") val rangeEnd: EtcdBytes? = null,
    @SerialName("start_revision") val startRevision: Int64 = 0,
)

@Serializable
internal data class EtcdWatchMessage(
    val result: EtcdWatchResponse,
)

@Serializable
internal data class EtcdWatchResponse(
    val header: EtcdHeader = EtcdHeader(),
    val created: Boolean = false,
    val canceled: Boolean = false,
    @SerialName("compact_revision") val compactRevision: Int64 = 0,
    val events: List<EtcdEvent> = emptyList(),
)

@Serializable
internal enum class EtcdEventType { PUT, DELETE }

@Serializable
internal data class EtcdEvent(
    val type: EtcdEventType = EtcdEventType.PUT,
    val kv: EtcdKeyValue,
)
