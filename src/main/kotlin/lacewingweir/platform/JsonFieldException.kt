package lacewingweir.platform

/** A field is missing or of another type. */
internal class JsonFieldException(
    message: String,
) : IllegalArgumentException(message)
