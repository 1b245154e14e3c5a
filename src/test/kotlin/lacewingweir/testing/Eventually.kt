package lacewingweir.testing

import kotlinx.coroutines.delay

/** Polls [condition] until it holds. Fails with the text [expectation] if it doesn't hold within [timeoutMillis]. */
internal suspend fun eventually(
    expectation: String,
    timeoutMillis: Long = 5_000,
    condition: suspend () -> Boolean,
) {
    val deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000
    while (!condition()) {
        check(System.nanoTime() < deadlineNanos) { "not within $timeoutMillis ms: $expectation" }
        delay(10)
    }
}
