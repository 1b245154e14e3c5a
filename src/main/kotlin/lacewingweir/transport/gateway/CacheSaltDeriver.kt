package lacewingweir.transport.gateway

import lacewingweir.state.id.AdapterName
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsVersion
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Derives the KV cache salt that separates cache entries by customer, model, adapter and weights version. */
internal class CacheSaltDeriver(
    secret: ByteArray,
) {
    private val key = SecretKeySpec(secret, ALGORITHM)

    fun derive(
        customer: CustomerId,
        model: ModelName,
        adapter: AdapterName?,
        weights: WeightsVersion,
    ): String {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(key)
        for (part in listOf("cache salt", customer.value, model.value, adapter?.value.orEmpty(), weights.value)) {
            // The length prefix makes the HMAC input unambiguous: different parts never concatenate to the same input.
            mac.update("${part.length}:$part".encodeToByteArray())
        }
        return mac.doFinal().joinToString("") { "%02x".format(it) }
    }

    private companion object {
        const val ALGORITHM: String = "HmacSHA256"
    }
}
