package lacewingweir.platform

/** A field is missing or of another type. */
internal class FieldException(
    message: String,
) : IllegalArgumentException(message)
