package lacewingweir.transport.gateway

import lacewingweir.protocol.openai.ModelList

/** Handles `GET /v1/models`, which lists the names that the `model` field of a request may have. */
internal class ModelsHandler(
    private val authenticator: Authenticator,
) {
    suspend fun handle(context: RequestContext) {
        val extractedKeys = CallerKey.extract(context.exchange.headers)
        when (val authentication = authenticator.authenticate(extractedKeys, context.bundle)) {
            is Authenticator.Result.Refused -> context.refuse(authentication.refusal)
            is Authenticator.Result.Accepted -> {
                context.recordCustomer(authentication.customer.id)
                val body = ModelList(context.routeTable.requestableNames).toJson().encodeToByteArray()
                context.recordOutcome("completed", "model list")
                context.response.respond(STATUS_OK, listOf("Content-Type" to "application/json"), body)
            }
        }
    }

    private companion object {
        const val STATUS_OK: Int = 200
    }
}
