package lacewingweir.standin.engine

import lacewingweir.protocol.engine.EngineLoadMessage
import lacewingweir.protocol.engine.EngineModelMessage
import lacewingweir.protocol.engine.EngineModelState
import lacewingweir.state.time.MonotonicClock

/** The models of an engine with their load states, and the highest fencing token received. Thread-safe. */
internal class EngineModels(
    private val initialModels: List<StandinModel>,
    private val loadMillis: Long,
    private val ignoreFencing: Boolean,
    private val clock: MonotonicClock,
) {
    private class ModelState(
        val weights: String,
        val loadedAtMillis: Long,
    )

    private val models = LinkedHashMap<String, ModelState>()
    private var highestFencingToken = 0L

    init {
        reset()
    }

    @Synchronized
    fun reset() {
        models.clear()
        highestFencingToken = 0
        for (model in initialModels) models[model.name] = ModelState(model.weights, 0)
    }

    /** Returns the weights with which [model] is served, or null if it isn't served. */
    @Synchronized
    fun servingWeights(model: String): String? = models[model]?.takeIf { !it.isLoading() }?.weights

    @Synchronized
    fun isKnown(model: String): Boolean = model in models

    /**
     * Starts to load a model. Returns false if the fencing token of [command] is outdated.
     *
     * Repeating a command doesn't restart the load.
     */
    @Synchronized
    fun load(command: EngineLoadMessage): Boolean {
        if (!ignoreFencing && command.fencing < highestFencingToken) return false
        highestFencingToken = maxOf(highestFencingToken, command.fencing)
        if (models[command.model]?.weights == command.weights) return true
        models[command.model] = ModelState(command.weights, clock.nowMillis() + loadMillis)
        return true
    }

    @Synchronized
    fun report(): List<EngineModelMessage> =
        models.map { (name, state) -> EngineModelMessage(name, state.weights, state.reportedState()) }

    private fun ModelState.reportedState(): EngineModelState =
        if (isLoading()) EngineModelState.LOADING else EngineModelState.SERVING

    private fun ModelState.isLoading(): Boolean = loadedAtMillis != 0L && clock.nowMillis() < loadedAtMillis
}
