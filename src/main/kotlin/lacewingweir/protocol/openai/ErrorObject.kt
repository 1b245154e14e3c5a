package lacewingweir.protocol.openai

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** The error object of the API. [param] is the name of the invalid request field, or null if there is none. */
public data class ErrorObject(
    val message: String,
    val type: String,
    val code: String,
    val param: String? = null,
) {
    /** Returns the object as JSON text on one line. */
    public fun toJson(): String =
        buildJsonObject {
            put(
                "error",
                buildJsonObject {
                    put("message", message)
                    put("type", type)
                    put("param", param)
                    put("code", code)
                },
            )
        }.toString()
}
