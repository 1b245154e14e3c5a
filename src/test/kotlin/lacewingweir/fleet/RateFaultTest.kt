package lacewingweir.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import lacewingweir.state.bundle.Customer
import lacewingweir.state.id.CustomerId
import lacewingweir.state.keys.KeyDirectory
import lacewingweir.testing.CallerOutcome
import lacewingweir.testing.ProcessFleet
import lacewingweir.testing.chat
import lacewingweir.testing.engineStats
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

/** The rate limit of a customer in a fleet of processes while instances are killed and paused. */
internal class RateFaultTest {
    /** A customer that stays within its rate, so that none of its requests may be refused. */
    private val conformingCustomer =
        Customer(
            CustomerId("petra"),
            CONFORMING_RATE,
            2 * CONFORMING_RATE,
            keys = listOf(KeyDirectory.digestOf(CONFORMING_KEY)),
        )

    /** Returns the tokens that all engines together processed, by cache salt. Every customer has a salt of its own. */
    private suspend fun tokensBySalt(fleet: ProcessFleet): Map<String, Long> =
        fleet.engines.indices
            .flatMap { fleet.engineStats(it).tokensBySalt.entries }
            .groupingBy { it.key }
            .fold(0L) { sum, entry -> sum + entry.value }

    /** Sends about five times the permitted rate, with seven of ten requests to the first instance. */
    private suspend fun sendFlood(
        scope: CoroutineScope,
        fleet: ProcessFleet,
    ): List<Deferred<CallerOutcome>> =
        (0 until SECONDS * FLOOD_PER_SECOND).map { n ->
            delay(1_000L / FLOOD_PER_SECOND)
            val instance = if (n % 10 < 7) 0 else n % INSTANCES
            scope.async { fleet.chat(instance, PROMPT + n, ANSWER_TOKENS) }
        }

    /** Sends two fifths of the conforming customer's permitted rate to the two instances that stay without faults. */
    private suspend fun sendConforming(
        scope: CoroutineScope,
        fleet: ProcessFleet,
    ): List<Deferred<CallerOutcome>> =
        (0 until SECONDS * CONFORMING_PER_SECOND).map { n ->
            delay(1_000L / CONFORMING_PER_SECOND)
            scope.async { fleet.chat(n % 2, PROMPT + n, ANSWER_TOKENS, CONFORMING_KEY) }
        }

    private suspend fun injectFaults(fleet: ProcessFleet) {
        delay(3_000)
        checkNotNull(fleet.instances[3].process).kill()
        delay(1_000)
        checkNotNull(fleet.instances[2].process).pause()
        delay(6_500)
        checkNotNull(fleet.instances[2].process).resume()
    }

    // Guards against tokens that are spent twice: by a killed instance and by the successors of its rate share, or by a
    // paused instance that resumes after its share was reassigned.
    @Test
    fun `a flooding customer stays within rate and burst while instances are killed and paused`() =
        runBlocking<Unit> {
            ProcessFleet(2, INSTANCES, emptyList(), RATE, BURST, listOf(conformingCustomer)).use { fleet ->
                expectThat(fleet.chat(0, "first", 1, CONFORMING_KEY).status).isEqualTo(200)
                val conformingSalt = tokensBySalt(fleet).keys.single()
                val startNanos = System.nanoTime()
                launch { injectFaults(fleet) }
                val floodOutcomes = async { sendFlood(this, fleet).awaitAll() }
                val conformingOutcomes = sendConforming(this, fleet).awaitAll()
                val outcomes = floodOutcomes.await()
                val elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000
                val usedTokens = tokensBySalt(fleet).filterKeys { it != conformingSalt }.values.sum()
                val bound = RATE * elapsedMillis / 1_000 + BURST
                val conformingStatuses = conformingOutcomes.groupingBy { it.status }.eachCount()
                println(
                    "rate: $usedTokens tokens in $elapsedMillis ms, bound $bound, " +
                        "statuses ${outcomes.groupingBy { it.status }.eachCount()}, calm $conformingStatuses",
                )
                expectThat(usedTokens).isLessThanOrEqualTo(bound).isGreaterThan(bound / 4)
                expectThat(outcomes.count { it.status == 429 }).isGreaterThan(0)
                expectThat(conformingStatuses).isEqualTo(mapOf(200 to conformingOutcomes.size))
            }
        }

    private companion object {
        const val INSTANCES = 4
        const val SECONDS = 15
        const val RATE = 300L
        const val BURST = 1_200L
        const val FLOOD_PER_SECOND = 20
        const val CONFORMING_RATE = 600L
        const val CONFORMING_PER_SECOND = 3
        const val ANSWER_TOKENS = 40
        const val CONFORMING_KEY = "key-of-the-calm-customer"
        val PROMPT = "grade certificate ".repeat(9)
    }
}
