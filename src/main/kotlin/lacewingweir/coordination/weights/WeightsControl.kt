/** Status reports of engines and commands to load weights. */
package lacewingweir.coordination.weights

import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsNumber

/**
 * The weights that an engine reports for its models. [commandCount] is the number of load commands that it has accepted
 * since it started, and [busy] is true while it executes one. An engine that is [leaving] shuts down soon. [copies] is
 * the number of copies of KV caches that it holds, or null if it doesn't say.
 */
internal data class WeightsStatus(
    val commandCount: Long,
    val busy: Boolean,
    val weights: Map<ModelName, WeightsNumber>,
    val leaving: Boolean = false,
    val copies: Long? = null,
)

/**
 * A command to load [weights]. The engine refuses it if it has seen a higher [fencingToken], or if the number of
 * commands that it has accepted differs from [expectedCommandCount]. This way a delayed command can't undo a later one.
 */
internal data class LoadWeightsCommand(
    val model: ModelName,
    val weights: WeightsNumber,
    val holder: String,
    val fencingToken: Long,
    val expectedCommandCount: Long,
)

internal enum class LoadWeightsResult {
    ACCEPTED,
    ALREADY_LOADED,

    /** Another command is in progress or has been accepted since the status was read. */
    CONFLICT,

    /** The engine has seen a higher fencing token, so another instance has acquired the rollout lease. */
    FENCED,
    REJECTED,

    /** The outcome is unknown: the command may have been accepted, or may still arrive. */
    NO_ANSWER,
}

internal interface WeightsControl {
    /** Returns the status of [engine], or null if it could not be read. */
    suspend fun status(engine: EndpointEntry): WeightsStatus?

    suspend fun load(
        engine: EndpointEntry,
        command: LoadWeightsCommand,
    ): LoadWeightsResult
}

/**
 * Returns whether [engine] says that a run of [model] that began on [weights] can go on there: that it has these
 * weights, and neither loads others nor leaves.
 */
internal suspend fun WeightsControl.takesRun(
    engine: EndpointEntry,
    model: ModelName?,
    weights: WeightsNumber?,
): Boolean {
    val status = status(engine) ?: return false
    return !status.busy && !status.leaving && (weights == null || status.weights[model] == weights)
}
