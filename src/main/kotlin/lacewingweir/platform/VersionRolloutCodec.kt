package lacewingweir.platform

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import lacewingweir.coordination.fleet.FleetUpdate
import lacewingweir.coordination.versions.RolloutItems
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion
import lacewingweir.state.versions.OrderId
import lacewingweir.state.versions.RolloutOrder
import lacewingweir.state.versions.RolloutPhase
import lacewingweir.state.versions.RolloutStep

/** Decodes and encodes the items of rollouts of software versions. */
internal object VersionRolloutCodec {
    private const val MILLIS_PER_SECOND = 1_000

    /** Durations beyond a week can't be meant and could overflow when a deadline is computed. */
    private const val MAX_DURATION_SECONDS = 604_800.0
    private const val MAX_THOUSANDTHS = 1_000

    val items =
        RolloutItems(
            leaseKey = PlatformKeys.VERSION_ROLLOUT_LEASE,
            stepsKey = PlatformKeys.VERSION_ROLLOUTS,
            statusPrefix = PlatformKeys.ROLLOUT_STATUS_PREFIX,
            encodeSteps = ::encodeSteps,
            encodeStatus = ::encodeStatus,
            stateOf = ::stateOf,
        )

    /** Returns null for keys that belong to no rollout. */
    fun decode(
        key: String,
        value: ByteArray,
    ): FleetUpdate? =
        when {
            key.startsWith(PlatformKeys.ROLLOUT_ORDER_PREFIX) -> order(key, parseObject(value))
            key.startsWith(PlatformKeys.ROLLOUT_STATUS_PREFIX) ->
                readOr(FleetUpdate::VersionStatusUnreadable) { status(key, parseObject(value)) }
            key == PlatformKeys.VERSION_ROLLOUTS ->
                readOr(FleetUpdate::VersionStepsUnreadable) { steps(parseObject(value)) }
            key == PlatformKeys.VERSION_ROLLOUT_LEASE -> FleetUpdate.VersionRolloutLeader
            else -> null
        }

    private fun readOr(
        unreadable: (String) -> FleetUpdate,
        read: () -> FleetUpdate,
    ): FleetUpdate =
        try {
            read()
        } catch (e: IllegalArgumentException) {
            unreadable(e.message ?: "malformed")
        }

    /** Encodes the item that tells operators of the rollout at [step]. */
    fun encodeStatus(step: RolloutStep): ByteArray =
        buildJsonObject {
            put("service", step.service.value)
            put("target", step.target.value)
            put("state", stateOf(step.phase))
        }.toString().encodeToByteArray()

    /** Returns the state of a rollout, as operators know it. */
    fun stateOf(phase: RolloutPhase): String =
        when (phase) {
            RolloutPhase.COMPLETED -> "completed"
            RolloutPhase.ROLLED_BACK -> "rolled_back"
            else -> "running"
        }

    /** Encodes the item with the steps of all rollouts and the versions that serve without an order. */
    fun encodeSteps(
        steps: Collection<RolloutStep>,
        allowed: Map<ServiceName, Set<SoftwareVersion>>,
    ): ByteArray =
        buildJsonObject {
            putJsonArray("rollouts") {
                for (step in steps) {
                    addJsonObject {
                        put("service", step.service.value)
                        put("target", step.target.value)
                        put("order", step.orderRevision)
                        putJsonArray("old") { step.old.forEach { add(it.value) } }
                        put("start", step.startUnixMillis)
                        put("deadline", step.deadlineUnixMillis)
                        put("phase", step.phase.name)
                        put("since", step.phaseUnixMillis)
                        put("share", step.shareThousandths)
                        putJsonArray("superseded") { step.superseded.forEach { add(orderId(it)) } }
                    }
                }
            }
            putJsonArray("allowed") {
                for ((service, versions) in allowed) {
                    addJsonObject {
                        put("service", service.value)
                        putJsonArray("versions") { versions.forEach { add(it.value) } }
                    }
                }
            }
        }.toString().encodeToByteArray()

    private fun orderId(order: OrderId) =
        buildJsonObject {
            put("order", order.revision)
            put("target", order.target.value)
            put("durationMs", order.durationMillis)
        }

    private fun orderId(item: JsonObject) =
        OrderId(item.integer("order"), SoftwareVersion(item.string("target")), item.integer("durationMs"))

    private fun order(
        key: String,
        item: JsonObject,
    ): FleetUpdate {
        val service = key.removePrefix(PlatformKeys.ROLLOUT_ORDER_PREFIX)
        if (item.string("service") != service) {
            throw JsonFieldException("service is not that of the key")
        }
        val seconds = item.number("durationS")
        if (!(seconds > 0 && seconds <= MAX_DURATION_SECONDS)) throw JsonFieldException("durationS is out of range")
        val millis = (seconds * MILLIS_PER_SECOND).toLong().coerceAtLeast(1)
        return FleetUpdate.VersionOrder(
            RolloutOrder(ServiceName(service), SoftwareVersion(item.string("target")), millis),
        )
    }

    private fun status(
        key: String,
        item: JsonObject,
    ): FleetUpdate =
        FleetUpdate.VersionStatus(
            ServiceName(key.removePrefix(PlatformKeys.ROLLOUT_STATUS_PREFIX)),
            SoftwareVersion(item.string("target")),
            item.string("state"),
        )

    private fun steps(item: JsonObject): FleetUpdate =
        FleetUpdate.VersionSteps(
            item.objects("rollouts").map(::step),
            item.objects("allowed").associate { ServiceName(it.string("service")) to versions(it, "versions") },
        )

    private fun versions(
        item: JsonObject,
        field: String,
    ): Set<SoftwareVersion> = item.strings(field).mapTo(LinkedHashSet()) { SoftwareVersion(it) }

    private fun step(item: JsonObject): RolloutStep {
        val phase = RolloutPhase.entries.find { it.name == item.string("phase") }
        val start = item.integer("start")
        val deadline = item.integer("deadline")
        if (deadline <= start) throw JsonFieldException("deadline is not after start")
        return RolloutStep(
            service = ServiceName(item.string("service")),
            target = SoftwareVersion(item.string("target")),
            orderRevision = item.integer("order"),
            old = versions(item, "old"),
            startUnixMillis = start,
            deadlineUnixMillis = deadline,
            phase = phase ?: throw JsonFieldException("phase is unknown"),
            phaseUnixMillis = item.integer("since"),
            shareThousandths = item.count("share").coerceAtMost(MAX_THOUSANDTHS),
            superseded = item.objects("superseded").map(::orderId),
        )
    }
}
