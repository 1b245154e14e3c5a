package lacewingweir.standin.engine

/** A model that a [StandinEngine] serves from its start. */
public data class StandinModel(
    val name: String,
    val weights: String,
)
