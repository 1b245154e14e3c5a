package lacewingweir.platform

import kotlin.random.Random

/** In which way a server answers a request. */
internal enum class Stutter {
    /** One response, which may come in pieces. */
    NONE,

    /** A second response behind the answer, in the same write or later. */
    SECOND_BEHIND,

    /** A second response on another connection. */
    SECOND_ELSEWHERE,

    /** A response that breaks off, and the answer behind it. */
    BROKEN_FIRST,

    /** An answer that breaks off, and a close or a reset. */
    BROKEN_OFF,

    /** An answer that names no request, another one or several, and a success behind it. */
    MISNAMED,

    /** Two responses whose bytes are mixed. */
    INTERLEAVED,

    /** Interim responses before the answer. */
    INTERIM,

    /** Bytes that are no response behind the answer. */
    JUNK_BEHIND,

    /** A whole success before the answer, which is a failure. No router can tell which of them is the answer. */
    SUCCESS_FIRST,
}

/** What a server does, [afterMillis] after the step before. */
internal sealed interface StutterStep {
    val afterMillis: Long

    class Write(
        val text: String,
        override val afterMillis: Long = 0,
    ) : StutterStep

    /** Writes on any other connection of the server, if there is one. */
    class WriteElsewhere(
        val response: DrawnResponse,
        override val afterMillis: Long,
    ) : StutterStep

    class Close(
        val reset: Boolean,
        override val afterMillis: Long = 0,
    ) : StutterStep
}

/**
 * All that a server does about one request.
 *
 * @property answer what counts as the answer: the first complete response, or else the first that was begun
 * @property complete whether the answer is written to its end
 * @property early the response that no router can tell from the answer
 * @property torn whether heads are torn apart, so that no router can tell what belongs to the answer
 * @property background whether the steps behind the first go on while the server reads the next request
 * @property beforeBody whether the server answers before it has read the body of the request
 */
internal class StutterPlan(
    val stutter: Stutter,
    val answer: DrawnResponse,
    val steps: List<StutterStep>,
    val complete: Boolean = true,
    val early: DrawnResponse? = null,
    val torn: Boolean = false,
    val background: Boolean = false,
    val beforeBody: Boolean = false,
    private val detail: String = "",
) {
    /** Whether the server has run the request, by its answer. */
    val ran: Boolean
        get() = !answer.status.notRun

    override fun toString(): String =
        "$stutter answer=[$answer] complete=$complete early=[$early] torn=$torn beforeBody=$beforeBody $detail"
}

/**
 * Draws what a server does about one send of the request with this [id].
 *
 * [otherIds] are those of requests that the server received before.
 */
internal class StutterDraw(
    private val random: Random,
    private val id: String,
    private val otherIds: List<String>,
    private val streams: Boolean,
    private val bodyOf: (success: Boolean) -> String,
) {
    fun draw(): StutterPlan {
        val stutter = Stutter.entries[random.nextInt(Stutter.entries.size)]
        return when (stutter) {
            Stutter.NONE -> plain()
            Stutter.SECOND_BEHIND -> secondBehind()
            Stutter.SECOND_ELSEWHERE -> secondElsewhere()
            Stutter.BROKEN_FIRST -> brokenFirst()
            Stutter.BROKEN_OFF -> brokenOff()
            Stutter.MISNAMED -> misnamed()
            Stutter.INTERLEAVED -> interleaved()
            Stutter.INTERIM -> interim()
            Stutter.JUNK_BEHIND -> junkBehind()
            Stutter.SUCCESS_FIRST -> successFirst()
        }
    }

    private fun status(): DrawnStatus =
        if (random.nextInt(10) < 6) DrawnStatus.successes.random(random) else DrawnStatus.failures.random(random)

    private fun response(
        status: DrawnStatus = status(),
        ids: List<String> = listOf(id),
        framing: Framing = DrawnResponse.drawFraming(random),
    ) = DrawnResponse(
        ids = ids,
        status = status,
        framing = framing,
        body = bodyOf(status.success),
        contentType = if (streams && status.success) "text/event-stream" else "text/plain",
        version = if (framing == Framing.LENGTH && random.nextInt(12) == 0) "HTTP/1.0" else "HTTP/1.1",
        chunkBytes = 5 + random.nextInt(80),
    )

    /** A delay in milliseconds: none, a few or many. */
    private fun delay(): Long =
        when (random.nextInt(10)) {
            in 0..3 -> 0
            in 4..8 -> 1 + random.nextLong(12)
            else -> 100 + random.nextLong(500)
        }

    /** The steps that write [text], in up to three pieces. */
    private fun pieces(text: String): List<StutterStep> {
        val cuts = List(random.nextInt(3)) { random.nextInt(text.length) }.sorted()
        val ends = cuts + text.length
        return (listOf(0) + cuts).zip(ends) { from, to -> text.substring(from, to) }.filter { it.isNotEmpty() }.map {
            StutterStep.Write(it, if (random.nextInt(3) == 0) 1 + random.nextLong(4) else 0)
        }
    }

    private fun closing(response: DrawnResponse): List<StutterStep> =
        if (response.framing == Framing.CONNECTION) listOf(StutterStep.Close(reset = false)) else emptyList()

    private fun plain(): StutterPlan {
        val answer = response()
        val steps = pieces(answer.text) + closing(answer)
        return StutterPlan(Stutter.NONE, answer, steps, beforeBody = random.nextInt(6) == 0)
    }

    /** Ids of a response that is none of the [request's][id] own. */
    private fun wrongIds(): List<String> =
        when (random.nextInt(5)) {
            0 -> emptyList()
            1 -> listOf("ffffffffffffffff")
            2 -> listOf("")
            3 -> listOf(id, otherIds.randomOrNull(random) ?: "ffffffffffffffff")
            else -> listOf(otherIds.randomOrNull(random) ?: "ffffffffffffffff")
        }

    private fun anyIds(): List<String> = if (random.nextInt(4) == 0) wrongIds() else listOf(id)

    private fun framed(): Framing = if (random.nextBoolean()) Framing.LENGTH else Framing.CHUNKS

    private fun secondBehind(): StutterPlan {
        val answer = response(framing = framed())
        val second = response(ids = anyIds())
        val steps =
            if (random.nextBoolean()) {
                listOf(StutterStep.Write(answer.text + second.text))
            } else {
                listOf(StutterStep.Write(answer.text), StutterStep.Write(second.text, delay()))
            }
        return StutterPlan(
            Stutter.SECOND_BEHIND,
            answer,
            steps + closing(second),
            background = true,
            detail = "second=[$second]",
        )
    }

    private fun secondElsewhere(): StutterPlan {
        val answer = response(framing = framed())
        val second = response(ids = anyIds(), framing = framed())
        val late = StutterStep.WriteElsewhere(second, delay())
        val steps = listOf(StutterStep.Write(answer.text), late)
        return StutterPlan(
            Stutter.SECOND_ELSEWHERE,
            answer,
            if (random.nextInt(4) == 0) steps.reversed() else steps,
            background = true,
            detail = "second=[$second]",
        )
    }

    private fun brokenFirst(): StutterPlan {
        val first = response(framing = if (random.nextInt(5) == 0) Framing.CONNECTION else framed())
        val answer = response(ids = anyIds())
        // Half of the responses break off shortly before their end.
        val near = random.nextBoolean()
        val cut = if (near) first.text.length - 1 - random.nextInt(14) else 1 + random.nextInt(first.text.length - 1)
        val begun = first.text.take(cut)
        val rest = if (random.nextBoolean()) answer.text else answer.text + response(framing = framed()).text
        val steps =
            if (random.nextBoolean()) {
                listOf(StutterStep.Write(begun + rest))
            } else {
                listOf(StutterStep.Write(begun), StutterStep.Write(rest, delay()))
            }
        // What ends with its connection isn't broken off by bytes behind it.
        val end = if (random.nextInt(3) == 0) listOf(StutterStep.Close(reset = false, delay())) else closing(answer)
        return StutterPlan(
            Stutter.BROKEN_FIRST,
            answer,
            steps + end,
            detail = "first=[$first] missing=${first.text.length - cut}",
        )
    }

    private fun brokenOff(): StutterPlan {
        val answer = response(framing = framed())
        val cut = random.nextInt(answer.text.length)
        val steps = pieces(answer.text.take(cut).ifEmpty { "H" })
        val close = StutterStep.Close(reset = random.nextBoolean(), delay())
        return StutterPlan(Stutter.BROKEN_OFF, answer, steps + close, complete = false, detail = "bytes=$cut")
    }

    private fun misnamed(): StutterPlan {
        val answer = response(ids = wrongIds(), framing = framed())
        val second = response(DrawnStatus.successes.random(random))
        val steps =
            if (random.nextBoolean()) {
                listOf(StutterStep.Write(answer.text + second.text))
            } else {
                listOf(StutterStep.Write(answer.text), StutterStep.Write(second.text, delay()))
            }
        // A response to a request that is over is an extra one to that request.
        val namesEnded = answer.ids.singleOrNull() in otherIds
        return StutterPlan(
            Stutter.MISNAMED,
            answer,
            steps + closing(second),
            early = second.takeIf { namesEnded },
            detail = "second=[$second]",
        )
    }

    private fun interleaved(): StutterPlan {
        val answer = response(DrawnStatus.failures.random(random), framing = framed())
        val other = response(framing = framed())
        val torn = random.nextBoolean()
        val mixed = StringBuilder()
        if (!torn) mixed.append(answer.head).append(other.head)
        var left = if (torn) answer.text else answer.text.drop(answer.head.length)
        var right = if (torn) other.text else other.text.drop(other.head.length)
        while (left.isNotEmpty() || right.isNotEmpty()) {
            val first = random.nextInt(120)
            val second = 1 + random.nextInt(120)
            mixed.append(left.take(first)).append(right.take(second))
            left = left.drop(first)
            right = right.drop(second)
        }
        return StutterPlan(
            Stutter.INTERLEAVED,
            answer,
            listOf(StutterStep.Write(mixed.toString())),
            complete = false,
            torn = torn,
            detail = "other=[$other]",
        )
    }

    private fun interim(): StutterPlan {
        val answer = response()
        val interim = listOf("100 Continue", "102 Processing", "103 Early Hints").random(random)
        val before = "HTTP/1.1 $interim\r\nAttempt-Id: $id\r\n\r\n".repeat(1 + random.nextInt(2))
        return StutterPlan(
            Stutter.INTERIM,
            answer,
            pieces(before + answer.text) + closing(answer),
            detail = interim,
        )
    }

    private fun junkBehind(): StutterPlan {
        val answer = response(framing = framed())
        val junk =
            listOf(
                "junk",
                "\r\n\r\n",
                "0\r\n\r\n",
                "HTTP/1.1 2",
                "\u0000\u0001",
                "id: 9\ndata: x\n\n",
            ).random(random)
        val steps =
            if (random.nextBoolean()) {
                listOf(StutterStep.Write(answer.text + junk))
            } else {
                listOf(StutterStep.Write(answer.text), StutterStep.Write(junk, delay()))
            }
        return StutterPlan(Stutter.JUNK_BEHIND, answer, steps, background = true, detail = "junk")
    }

    private fun successFirst(): StutterPlan {
        val early = response(DrawnStatus.successes.random(random), framing = framed())
        val answer = response(DrawnStatus.failures.random(random))
        return StutterPlan(
            Stutter.SUCCESS_FIRST,
            answer,
            listOf(StutterStep.Write(early.text), StutterStep.Write(answer.text, delay())) + closing(answer),
            early = early,
            background = true,
        )
    }
}
