package lacewingweir.protocol.openai

import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

/** The response to `GET /v1/models`. */
public data class ModelList(
    val names: List<String>,
) {
    /** Returns the list as JSON text. */
    public fun toJson(): String =
        buildJsonObject {
            put("object", "list")
            putJsonArray("data") {
                for (name in names) {
                    add(
                        buildJsonObject {
                            put("id", name)
                            put("object", "model")
                            put("created", 0)
                            put("owned_by", "lacewingweir")
                        },
                    )
                }
            }
        }.toString()
}
