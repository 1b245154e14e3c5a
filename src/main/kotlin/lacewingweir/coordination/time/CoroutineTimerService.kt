package lacewingweir.coordination.time

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlin.random.Random

/** A [TimerService] whose tasks run as coroutines in [scope] and are cancelled with it. */
public class CoroutineTimerService(
    private val scope: CoroutineScope,
    private val random: Random = Random.Default,
    private val failures: PartFailures = PartFailures(),
) : TimerService {
    override fun every(
        name: String,
        periodMillis: Long,
        jitter: Double,
        task: suspend () -> Unit,
    ): Subscription {
        val job =
            scope.launch {
                while (isActive) {
                    delay(withJitter(periodMillis, jitter))
                    failures.contain("timer $name", task)
                }
            }
        return Subscription { job.cancel() }
    }

    override fun after(
        name: String,
        delayMillis: Long,
        task: suspend () -> Unit,
    ): Subscription {
        val job =
            scope.launch {
                delay(delayMillis)
                failures.contain("timer $name", task)
            }
        return Subscription { job.cancel() }
    }

    private fun withJitter(
        periodMillis: Long,
        jitter: Double,
    ): Long {
        if (jitter <= 0.0) return periodMillis
        return (periodMillis * (1.0 + random.nextDouble(-jitter, jitter))).toLong()
    }
}
