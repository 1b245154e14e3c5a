/** Orders to engines about their weights. */
package lacewingweir.coordination.weights

import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsNumber

/**
 * What an engine says of itself. [commandCount] counts the orders it has accepted in this run; [busy] while one is in
 * progress.
 */
internal data class EngineStatus(
    val commandCount: Long,
    val busy: Boolean,
    val weights: Map<ModelName, WeightsNumber>,
)

/**
 * An order to load [weights]. The engine refuses it if it has seen a higher [fencingToken], or if it has accepted other than
 * [expectedCommandCount] orders: an order that was delayed on its way can't undo a later one.
 */
internal data class LoadCommand(
    val model: ModelName,
    val weights: WeightsNumber,
    val holder: String,
    val fencingToken: Long,
    val expectedCommandCount: Long,
)

internal enum class LoadResult {
    ACCEPTED,
    ALREADY_LOADED,

    /** Another order is in progress or has been accepted since. */
    CONFLICT,

    /** The engine has seen a higher fence: another instance coordinates now. */
    FENCED,
    REJECTED,

    /** The order may have been accepted, or may still be. */
    NO_ANSWER,
}

internal interface WeightsControl {
    /** The engine's status, or null if it gave none. */
    suspend fun status(engine: EndpointEntry): EngineStatus?

    suspend fun load(
        engine: EndpointEntry,
        command: LoadCommand,
    ): LoadResult
}
