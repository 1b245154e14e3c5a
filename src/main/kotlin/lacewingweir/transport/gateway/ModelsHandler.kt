package lacewingweir.transport.gateway

import lacewingweir.protocol.openai.ModelList

/** Serves `GET /v1/models`: the names that the `model` field of a request may have. */
internal class ModelsHandler(
    private val authenticator: Authenticator,
) {
    suspend fun handle(context: RequestContext) {
        val found = CallerKey.find(context.exchange.headers)
        when (val identity = authenticator.authenticate(found, context.bundle)) {
            is Authenticator.Result.Refused -> context.refuse(identity.refusal)
            is Authenticator.Result.Accepted -> {
                context.identified(identity.customer.id)
                val body = ModelList(context.table.modelNames).toJson().encodeToByteArray()
                context.ended("completed", "model list")
                context.answer.whole(STATUS_OK, listOf("Content-Type" to "application/json"), body)
            }
        }
    }

    private companion object {
        const val STATUS_OK: Int = 200
    }
}
