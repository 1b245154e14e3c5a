package lacewingweir.state.fleet

import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion
import lacewingweir.state.id.WeightsNumber

/**
 * The store item that an endpoint publishes about itself.
 *
 * [startedAtUnixMillis] distinguishes successive processes with the same id. [leaving] endpoints accept no new
 * requests. [software] is null if the item doesn't say which version it is.
 */
internal data class EndpointEntry(
    val id: EndpointId,
    val service: ServiceName,
    val host: String,
    val port: Int,
    val domain: FailureDomain,
    val slots: Int,
    val leaving: Boolean,
    val startedAtUnixMillis: Long,
    val weights: Map<ModelName, WeightsNumber>,
    val software: SoftwareVersion? = null,
) {
    /** Identifies this run of the endpoint in messages between instances. */
    val tag: EndpointTag = EndpointTag.of(id, startedAtUnixMillis)

    /** The address in the form `host:port`. */
    val address: String
        get() = "$host:$port"
}
