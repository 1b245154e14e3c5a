package lacewingweir.platform

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan

/**
 * Guards against answers that aren't the caller's own, or aren't whole, from servers that stutter in ways that are
 * drawn from a seed. More seeds are played by hand: `mvn test -Dtest=DrawnStutterTest -Dstutter.seeds=50`.
 */
@Timeout(3_600)
internal class DrawnStutterTest {
    private val seeds: LongRange
        get() {
            val first = System.getProperty("stutter.first")?.toLong() ?: 1
            return first until first + (System.getProperty("stutter.seeds")?.toLong() ?: SEEDS)
        }

    private fun play(kind: String) {
        val wrong = ArrayList<String>()
        var served = 0
        val stutters = HashMap<Stutter, Int>()
        val callerKinds = HashMap<CallerKind, Int>()
        for (seed in seeds) {
            val record = StutterRecord(seed)
            val servers = List(1 + (seed % SERVERS).toInt()) { StutteringServer(it, record, kind == "stream") }
            RelayFixture(repeatExtra = 100_000.0).use { relay ->
                relay.configure("k1")
                // The fixture proves contact with the store only once.
                relay.limits = relay.limits.copy(maxKeyProofAgeMillis = Long.MAX_VALUE)
                servers.forEachIndexed { i, server ->
                    if (kind == "stream") {
                        relay.registerEngine("i-$i", server.port)
                    } else {
                        relay.registerPlain("i-$i", server.port)
                    }
                }
                val play = StutterPlay(kind, record) { StutterCaller("127.0.0.1", relay.callerPort) }
                play.run()
                println(
                    "stutter: seed=$seed kind=$kind servers=${servers.size} wrong=${play.wrong.size} " +
                        "served=${play.served} untellable=${play.untellable} statuses=${play.statuses}",
                )
                wrong += play.wrong
                served += play.served.get()
                play.callerKinds.forEach { (name, count) -> callerKinds.merge(name, count.get(), Int::plus) }
                Stutter.entries.forEach { stutters.merge(it, record.count(it), Int::plus) }
            }
            servers.forEach { it.close() }
        }
        wrong.forEach(::println)
        println("stutter: kind=$kind wrong=${wrong.size} served=$served drawn=$stutters callers=$callerKinds")
        expectThat(wrong).isEmpty()
        expectThat(served).isGreaterThan(0)
        for (stutter in Stutter.entries) expectThat(stutters.getValue(stutter)).isGreaterThan(0)
        for (callerKind in CallerKind.entries) expectThat(callerKinds.getValue(callerKind)).isGreaterThan(0)
    }

    @Test
    fun `no booking gets an answer that is not its own`() = play("non_idempotent")

    @Test
    fun `no look-up gets an answer that is not its own`() = play("idempotent")

    @Test
    fun `no stream gets an answer that is not its own`() = play("stream")

    private companion object {
        const val SEEDS = 3L
        const val SERVERS = 3L
    }
}
