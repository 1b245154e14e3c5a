package lacewingweir.standin.engine

import lacewingweir.protocol.engine.EngineLoadMessage
import lacewingweir.protocol.engine.EngineModelMessage
import lacewingweir.protocol.engine.EngineModelState
import lacewingweir.state.time.MonotonicClock

/** The models on an engine, their load state, and the highest fencing number seen. */
internal class EngineModels(
    private val initial: List<StandinModel>,
    private val loadMillis: Long,
    private val ignoreFencing: Boolean,
    private val clock: MonotonicClock,
) {
    private class State(
        val weights: String,
        val servesAtMillis: Long,
    )

    private val models = LinkedHashMap<String, State>()
    private var highestFencing = 0L

    init {
        reset()
    }

    @Synchronized
    fun reset() {
        models.clear()
        highestFencing = 0
        for (model in initial) models[model.name] = State(model.weights, 0)
    }

    /** The weights that [model] is served with, or null while it isn't served. */
    @Synchronized
    fun servingWeights(model: String): String? = models[model]?.takeIf { !it.loading() }?.weights

    @Synchronized
    fun isKnown(model: String): Boolean = model in models

    /** Begins to load. Returns false if the command is fenced off. A repeated command doesn't start over. */
    @Synchronized
    fun load(command: EngineLoadMessage): Boolean {
        if (!ignoreFencing && command.fencing < highestFencing) return false
        highestFencing = maxOf(highestFencing, command.fencing)
        if (models[command.model]?.weights == command.weights) return true
        models[command.model] = State(command.weights, clock.nowMillis() + loadMillis)
        return true
    }

    @Synchronized
    fun report(): List<EngineModelMessage> =
        models.map { (name, state) -> EngineModelMessage(name, state.weights, state.shown()) }

    private fun State.shown(): EngineModelState = if (loading()) EngineModelState.LOADING else EngineModelState.SERVING

    private fun State.loading(): Boolean = servesAtMillis != 0L && clock.nowMillis() < servesAtMillis
}
