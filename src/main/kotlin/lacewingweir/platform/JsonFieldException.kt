package lacewingweir.platform

/** Thrown when a JSON field is missing or has another type than expected. */
internal class JsonFieldException(
    message: String,
) : IllegalArgumentException(message)
