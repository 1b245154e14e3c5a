package lacewingweir.state.rollout

import lacewingweir.state.id.ModelName

/** The status that an engine reported at the start of a reconciliation. */
public data class EngineReport(
    val leaving: Boolean,
    val models: Map<ModelName, ModelReport>,
) {
    /** Whether the engine is loading any model. */
    val loading: Boolean
        get() = models.values.any { it.loading }

    /** Returns whether the engine accepts new requests for [model], regardless of the version of the weights. */
    public fun serves(model: ModelName): Boolean = !leaving && models[model]?.loading == false
}
