package lacewingweir.coordination.time

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import lacewingweir.testing.eventually
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.util.concurrent.atomic.AtomicInteger

/** Guards against parts of an instance that end in silence, so that it learns of no change any more. */
internal class PartFailuresTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val failures = PartFailures()
    private val runs = AtomicInteger()

    @AfterEach
    fun close() = scope.cancel()

    private fun expectRestart(end: () -> Unit): Unit =
        runBlocking {
            scope.launch {
                failures.keepRunning("part") {
                    if (runs.incrementAndGet() == 1) end() else awaitCancellation()
                }
            }
            eventually("the part runs again") { runs.get() == 2 }
            expectThat(failures.total).isEqualTo(1)
        }

    @Test
    fun `a part is started again after its stack has overflowed`() = expectRestart { throw StackOverflowError() }

    @Test
    fun `a part is started again after the heap was used up`() = expectRestart { throw OutOfMemoryError("test") }

    @Test
    fun `a part is started again after a cancellation that was not its own`() =
        expectRestart { throw CancellationException("channel was closed") }

    @Test
    fun `a part is started again after it returned`() = expectRestart { }

    @Test
    fun `a part that is cancelled ends`(): Unit =
        runBlocking {
            val part = scope.launch { failures.keepRunning("part") { awaitCancellation() } }
            part.cancelAndJoin()
            expectThat(failures.total).isEqualTo(0)
        }

    @Test
    fun `a timer goes on after an error of its task`(): Unit =
        runBlocking {
            CoroutineTimerService(scope, failures = failures).every("test", periodMillis = 1) {
                if (runs.incrementAndGet() == 1) throw StackOverflowError()
            }
            eventually("the task runs again") { runs.get() > 2 }
            expectThat(failures.total).isEqualTo(1)
        }

    @Test
    fun `a failure of a background task is counted`(): Unit =
        runBlocking {
            CoroutineScope(SupervisorJob() + failures.handler).launch { throw StackOverflowError() }
            eventually("the failure is counted") { failures.total == 1L }
            expectThat(failures.total).isGreaterThan(0)
        }
}
