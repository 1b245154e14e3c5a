package lacewingweir.standin.engine

/** A model that a [StandinEngine] serves initially. */
public data class StandinModel(
    val name: String,
    val weights: String,
)
