package lacewingweir.testing

import kotlinx.coroutines.delay

/** Waits until [condition] holds and fails after [timeoutMillis]. */
internal suspend fun eventually(
    what: String,
    timeoutMillis: Long = 5_000,
    condition: suspend () -> Boolean,
) {
    val end = System.nanoTime() + timeoutMillis * 1_000_000
    while (!condition()) {
        check(System.nanoTime() < end) { "not within $timeoutMillis ms: $what" }
        delay(10)
    }
}
