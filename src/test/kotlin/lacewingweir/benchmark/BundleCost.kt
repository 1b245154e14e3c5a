package lacewingweir.benchmark

import lacewingweir.protocol.bundle.BundleText
import lacewingweir.protocol.json.Validated
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Ed25519
import lacewingweir.state.bundle.SignedBundle
import lacewingweir.state.bundle.SignedBundleCodec

/** Measures the size, verification and parse time and retained memory of bundles with different numbers of entries. */
internal fun main() {
    println("customers keys engines routes  bytes signed  verify ms  parse ms  retained bytes")
    for (size in SIZES) {
        val (customers, keys, engines) = size
        val routes = size.last()
        val bundle = Fleets.bundle(customers, keys, engines, routes, models = 9)
        val keyPair = Ed25519.newKeyPair()
        val payload = BundleText.canonical(bundle)
        val signature = checkNotNull(Ed25519.sign(payload, keyPair.privateKey))
        val bytes = SignedBundleCodec.encode(SignedBundle(payload, signature, "operator", "operation")).size
        val verifyMicros = Measure.microsPerCall { check(Ed25519.verify(payload, signature, keyPair.publicKey)) }
        val parseMicros = Measure.microsPerCall { parsed(payload) }
        val (_, retained) = Measure.retainedBy { parsed(payload) }
        println(
            "%9d %4d %7d %6d %13d %10.2f %9.2f %15d"
                .format(
                    customers,
                    customers * keys,
                    engines,
                    routes,
                    bytes,
                    verifyMicros / 1_000,
                    parseMicros / 1_000,
                    retained,
                ),
        )
    }
}

private fun parsed(payload: String): Bundle = (BundleText.parse(payload) as Validated.Valid).value

/** The numbers of customers, of keys per customer, of engines and of routes. */
private val SIZES =
    listOf(
        listOf(46, 2, 67, 9),
        listOf(460, 2, 67, 9),
        listOf(460, 2, 670, 9),
        listOf(460, 2, 670, 900),
        listOf(460, 10, 670, 9),
        listOf(4_600, 2, 670, 9),
    )
