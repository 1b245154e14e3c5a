package lacewingweir.coordination.time

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/** A [TimerService] whose tasks run as coroutines in [scope] and are cancelled with it. */
public class CoroutineTimerService(
    private val scope: CoroutineScope,
    private val random: Random = Random.Default,
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
                    runLogged(name, task)
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
                runLogged(name, task)
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

    private suspend fun runLogged(
        name: String,
        task: suspend () -> Unit,
    ) {
        try {
            task()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            logger.error(e) { "timer: task $name failed" }
        }
    }
}
