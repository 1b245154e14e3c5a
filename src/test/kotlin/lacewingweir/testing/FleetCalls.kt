package lacewingweir.testing

import kotlinx.serialization.json.Json
import lacewingweir.standin.engine.StandinAnswer
import lacewingweir.standin.engine.StandinEngineStats
import lacewingweir.standin.service.StandinServiceStats

/** Returns the first [tokens] tokens of the answer of an engine with [weights] to [prompt]. */
internal fun answerText(
    prompt: String,
    tokens: Int,
    weights: String = "v1",
): String = StandinAnswer.of("grade", weights, "user: $prompt\n").text(tokens)

/** Sends a request for a streamed chat completion to [instance] and reads the answer to its end. */
internal suspend fun ProcessFleet.chat(
    instance: Int,
    prompt: String,
    tokens: Int,
    key: String = ProcessFleet.KEY,
): CallerOutcome {
    val headers = listOf("Authorization" to "Bearer $key")
    val body = ProcessFleet.chatBody(prompt, tokens)
    val response = post(instances[instance], "/v1/chat/completions", body, headers)
    val stream = response?.takeIf { it.status == 200 }?.let { ChatStream.read(it) }
    if (stream == null) response?.close()
    return CallerOutcome(response?.status, response?.headers?.get("X-Lacewingweir-Run"), stream, System.nanoTime())
}

/** Sends a reservation to [instance] and returns its status and run state, which are null without a response. */
internal suspend fun ProcessFleet.reserve(
    instance: Int,
    order: String?,
): Pair<Int?, String?> {
    val headers = listOf("Authorization" to "Bearer ${ProcessFleet.KEY}", "Idempotency-Key" to order)
    val presentHeaders = headers.mapNotNull { (name, value) -> value?.let { name to it } }
    val response = post(instances[instance], "/services/reservations", """{"lot":1}""", presentHeaders)
    response?.close()
    return response?.status to response?.headers?.get("X-Lacewingweir-Run")
}

internal suspend fun ProcessFleet.serviceStats(): StandinServiceStats =
    Json.decodeFromString(StandinServiceStats.serializer(), checkNotNull(get(service.port, "/standin/stats")))

internal suspend fun ProcessFleet.engineStats(engine: Int): StandinEngineStats =
    Json.decodeFromString(
        StandinEngineStats.serializer(),
        checkNotNull(get(engines[engine].port, "/standin/stats")),
    )

/** Returns whether [instance] reports that it is ready. */
internal suspend fun ProcessFleet.isReady(instance: Int): Boolean =
    get(instances[instance].operatorPort, "/fleet").orEmpty().contains("\"unreadyReasons\":[]")

/** Returns whether bundle [number] is in force on [instance]. */
internal suspend fun ProcessFleet.hasBundle(
    instance: Int,
    number: Long,
): Boolean = get(instances[instance].operatorPort, "/fleet").orEmpty().contains("\"bundle\":$number,\"epoch\"")
