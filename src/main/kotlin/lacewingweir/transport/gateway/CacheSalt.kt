package lacewingweir.transport.gateway

import lacewingweir.state.id.AdapterName
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsVersion
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Derives the salt that keeps cache entries of customers, models, adapters and weights versions apart. */
internal class CacheSalt(
    secret: ByteArray,
) {
    private val key = SecretKeySpec(secret, ALGORITHM)

    fun of(
        customer: CustomerId,
        model: ModelName,
        adapter: AdapterName?,
        weights: WeightsVersion,
    ): String {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(key)
        for (part in listOf("cache salt", customer.value, model.value, adapter?.value.orEmpty(), weights.value)) {
            // The length keeps two different lists of parts from giving the same input.
            mac.update("${part.length}:$part".encodeToByteArray())
        }
        return mac.doFinal().joinToString("") { "%02x".format(it) }
    }

    private companion object {
        const val ALGORITHM: String = "HmacSHA256"
    }
}
