package lacewingweir.protocol.openai

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** The API's error object. [param] names the wrong field of the request, if there is one. */
public data class ErrorObject(
    val message: String,
    val type: String,
    val code: String,
    val param: String? = null,
) {
    /** The object as JSON text on one line. */
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
