/**
 * Divides the requests per second that an endpoint accepts among the instances.
 *
 * Equal shares of a small limit would be too small to send anything within the deadlines of callers, and one token for
 * each instance of a large fleet would exceed it at once. Therefore only as many instances send as each can have a
 * request per second, or one instance below that. All choose the same senders by rendezvous hashing, without messages.
 * An instance that joins or leaves replaces at most one sender.
 */
package lacewingweir.state.limit

import lacewingweir.state.id.EndpointTag
import java.util.SplittableRandom

/**
 * Returns the requests per second that the instance [self] may send to [endpoint], zero if others send instead.
 *
 * [heard] are the other instances that are known to run, and [registered] is the number of all instances. An instance
 * that hears less than half of them can't tell who else sends, so it takes an equal share of the limit [perSecond].
 */
internal fun limitShare(
    endpoint: EndpointTag,
    perSecond: Double,
    self: String,
    heard: Set<String>,
    registered: Int,
): Double {
    val limit = perSecond.coerceAtLeast(MIN_PER_SECOND)
    val members = heard.size + 1
    if (members * 2 < registered) return limit / registered
    val senders = limit.toInt().coerceIn(1, members)
    val ownScore = score(endpoint, self)
    val before = heard.count { it != self && score(endpoint, it) > ownScore }
    return if (before < senders) limit / senders else 0.0
}

/**
 * Returns how many of the [slots] of [endpoint] the instance [self] may use at once. The parts of all instances add up
 * to the slots. An instance that hears less than half of the others has an equal part, but at least one slot.
 */
internal fun slotShare(
    endpoint: EndpointTag,
    slots: Int,
    self: String,
    heard: Set<String>,
    registered: Int,
): Int {
    val members = heard.size + 1
    if (members * 2 < registered) return (slots / registered).coerceAtLeast(1)
    val ownScore = score(endpoint, self)
    val before = heard.count { it != self && score(endpoint, it) > ownScore }
    return slots / members + if (before < slots % members) 1 else 0
}

private fun score(
    endpoint: EndpointTag,
    instance: String,
): Long = SplittableRandom(endpoint.value.toLong() * HASH_MULTIPLIER xor instance.hashCode().toLong()).nextLong()

/** A few requests are sent whatever the limit, because only a response can tell that it has ended. */
private const val MIN_PER_SECOND: Double = 0.25

/** Odd constant derived from the golden ratio that spreads the 32-bit tag over 64 bits. */
private const val HASH_MULTIPLIER: Long = -0x61c8864680b583ebL
