package lacewingweir.state.rollout

import lacewingweir.state.id.ModelName

/** What an engine reported at the start of a reconciliation. */
public data class EngineReport(
    val leaving: Boolean,
    val models: Map<ModelName, ModelReport>,
) {
    /** Whether the engine loads any model. */
    val loading: Boolean
        get() = models.values.any { it.loading }

    /** Whether the engine takes new requests for [model], with whatever weights. */
    public fun serves(model: ModelName): Boolean = !leaving && models[model]?.loading == false
}
