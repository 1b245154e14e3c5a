/** Judges the answers of a new software version by those of the old one over the same period. */
package lacewingweir.state.versions

import kotlin.math.sqrt

/**
 * Answers of one version on one route: their number, the bad ones, and the sum of their times to the first event.
 *
 * @property unclear the calls without an answer for which the version need not be the cause, as after a timeout. They
 *   are not among [answers].
 */
internal data class AnswerTally(
    val answers: Long = 0,
    val bad: Long = 0,
    val latencyMillis: Long = 0,
    val unclear: Long = 0,
) {
    val ends: Long
        get() = answers + unclear

    val badShare: Double
        get() = if (answers == 0L) 0.0 else bad.toDouble() / answers

    val meanMillis: Double
        get() = if (answers == 0L) 0.0 else latencyMillis.toDouble() / answers

    operator fun plus(other: AnswerTally) =
        AnswerTally(
            answers + other.answers,
            bad + other.bad,
            latencyMillis + other.latencyMillis,
            unclear + other.unclear,
        )

    /** Differences are never negative, since totals that were reported last may be missing in the later sum. */
    operator fun minus(other: AnswerTally) =
        AnswerTally(
            (answers - other.answers).coerceAtLeast(0),
            (bad - other.bad).coerceAtLeast(0),
            (latencyMillis - other.latencyMillis).coerceAtLeast(0),
            (unclear - other.unclear).coerceAtLeast(0),
        )

    override fun toString(): String = "$bad/$answers mean=${meanMillis.toLong()}ms unclear=$unclear"
}

/** The answers of the target version and of the old versions on one route. */
internal data class RouteEvidence(
    val target: AnswerTally = AnswerTally(),
    val old: AnswerTally = AnswerTally(),
) {
    operator fun plus(other: RouteEvidence) = RouteEvidence(target + other.target, old + other.old)

    operator fun minus(other: RouteEvidence) = RouteEvidence(target - other.target, old - other.old)
}

/** Evidence by route; the keys are hashes of route ids. */
internal typealias ServiceEvidence = Map<Int, RouteEvidence>

internal operator fun ServiceEvidence.minus(base: ServiceEvidence): ServiceEvidence =
    mapValues { (route, evidence) -> base[route]?.let { evidence - it } ?: evidence }

internal fun ServiceEvidence.total(): RouteEvidence = values.fold(RouteEvidence(), RouteEvidence::plus)

internal enum class Verdict {
    BAD,

    /** Some answers are worse than those of the old version, but too few for a verdict. */
    DOUBTFUL,

    /** Too few answers, and none that raises a doubt. */
    THIN,
    GOOD,
}

private const val MIN_BAD_ANSWERS = 10
private const val MIN_GOOD_ANSWERS = 30
private const val MIN_ROUTE_ANSWERS = 5
private const val MIN_DOUBT_BAD = 2
private const val BAD_MARGIN = 0.1
private const val GOOD_MARGIN = 0.02

/** Half of the bad answers after which a version must not get more calls, also if only a small share is bad. */
private const val MANY_BAD_ANSWERS = 25
private const val MIN_LATENCY_ANSWERS = 10
private const val MUCH_SLOWER = 2.5
private const val MIN_ROUTE_SHARE = 0.05

/** Quantile of the normal distribution for 99%. Evidence is judged many times in a rollout. */
private const val WILSON_Z = 2.58

/** Returns the lower end of the Wilson interval of the share [hits] of [samples]. */
internal fun wilsonLower(
    hits: Long,
    samples: Long,
): Double {
    if (samples == 0L) return 0.0
    val share = hits.toDouble() / samples
    val z2 = WILSON_Z * WILSON_Z
    val spread = WILSON_Z * sqrt((share * (1 - share) + z2 / (4 * samples)) / samples)
    return ((share + z2 / (2 * samples) - spread) / (1 + z2 / samples)).coerceAtLeast(0.0)
}

/**
 * Judges [evidence]. Where it has fewer than ten old answers on a route, as after the traffic has been moved,
 * [oldSinceOrder] takes their place. A doubt takes [minDoubtBad] bad answers.
 *
 * Unclear answers count as bad if the old version has significantly fewer of them over the same period. If it has only
 * earlier answers, they are a doubt, since the network may have changed in the meantime.
 */
internal fun judge(
    evidence: ServiceEvidence,
    oldSinceOrder: ServiceEvidence = evidence,
    minDoubtBad: Int = MIN_DOUBT_BAD,
): Verdict {
    val compared =
        evidence.mapValues { (route, it) ->
            if (it.old.answers >= MIN_BAD_ANSWERS) it else it.copy(old = oldSinceOrder[route]?.old ?: it.old)
        }
    val all = compared.total()
    val ownPeriod = evidence.values + evidence.total()
    return when {
        (compared.values + all).any(::isBad) || hasManyBad(all) || ownPeriod.any(::hasMoreUnclear) -> Verdict.BAD
        compared.values.any { isWorse(it, minDoubtBad) } || raisesDoubt(all, minDoubtBad) -> Verdict.DOUBTFUL
        (compared.values + all).any(::hasMoreUnclear) -> Verdict.DOUBTFUL
        // A single bad answer among few raises no doubt, but doesn't show a good version either.
        compared.values.any { isWorse(it, minDoubtBad = 1) } || raisesDoubt(all, minDoubtBad = 1) -> Verdict.THIN
        all.target.answers < MIN_GOOD_ANSWERS -> Verdict.THIN
        compared.values.any { lacksAnswers(it, all) } -> Verdict.THIN
        else -> Verdict.GOOD
    }
}

/**
 * Whether an instance must stop calls to the target on the facts that it knows itself, without the lease holder. The
 * limit is well below the 50 bad answers after which no more calls are allowed.
 */
internal fun mustStopAlone(evidence: ServiceEvidence): Boolean {
    // A version may be bad on one route only, which has a small part of all calls.
    return (evidence.values + evidence.total()).any { (target, old) ->
        val manyBad = target.bad >= MAX_BAD_ALONE && target.badShare > MAX_BAD_SHARE_ALONE
        val manyUnclear = target.unclear >= MAX_BAD_ALONE && target.unclear > target.ends * MAX_BAD_SHARE_ALONE
        manyBad || (manyUnclear && hasMoreUnclear(RouteEvidence(target, old)))
    }
}

/** Whether the target has significantly more unclear answers than the old version has over the same period. */
private fun hasMoreUnclear(route: RouteEvidence): Boolean {
    val (target, old) = route
    if (target.ends < MIN_BAD_ANSWERS || old.ends < MIN_BAD_ANSWERS) return false
    val oldUpper = 1.0 - wilsonLower(old.answers, old.ends)
    val margin = if (target.unclear >= MANY_BAD_ANSWERS) GOOD_MARGIN else BAD_MARGIN
    return wilsonLower(target.unclear, target.ends) > oldUpper + margin
}

private const val MAX_BAD_ALONE = 20
private const val MAX_BAD_SHARE_ALONE = 0.2

private fun isBad(route: RouteEvidence): Boolean =
    route.target.answers >= MIN_BAD_ANSWERS &&
        wilsonLower(route.target.bad, route.target.answers) > route.old.badShare + BAD_MARGIN

private fun hasManyBad(all: RouteEvidence): Boolean =
    all.target.bad >= MANY_BAD_ANSWERS &&
        wilsonLower(all.target.bad, all.target.answers) > all.old.badShare + GOOD_MARGIN

private fun raisesDoubt(
    all: RouteEvidence,
    minDoubtBad: Int,
): Boolean = all.target.bad >= minDoubtBad && all.target.badShare > all.old.badShare + GOOD_MARGIN

private fun isWorse(
    route: RouteEvidence,
    minDoubtBad: Int,
): Boolean {
    val (target, old) = route
    val fails =
        target.answers >= MIN_ROUTE_ANSWERS &&
            target.bad >= minDoubtBad &&
            target.badShare > old.badShare + BAD_MARGIN
    val isSlow =
        target.answers >= MIN_LATENCY_ANSWERS &&
            old.answers >= MIN_LATENCY_ANSWERS &&
            target.meanMillis > old.meanMillis * MUCH_SLOWER
    return fails || isSlow
}

/** Whether the target has hardly answered on a route that has a part of the traffic. */
private fun lacksAnswers(
    route: RouteEvidence,
    all: RouteEvidence,
): Boolean =
    route.target.answers < MIN_ROUTE_ANSWERS &&
        route.old.answers >= MIN_LATENCY_ANSWERS &&
        route.old.answers > all.old.answers * MIN_ROUTE_SHARE
