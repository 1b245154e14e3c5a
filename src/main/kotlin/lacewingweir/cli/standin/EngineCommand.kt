package lacewingweir.cli.standin

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.multiple
import lacewingweir.standin.engine.StandinEngine
import lacewingweir.standin.engine.StandinEngineOptions
import lacewingweir.standin.engine.StandinModel

/** `standin engine`: runs a [StandinEngine] until the process is terminated. */
@OptIn(ExperimentalCli::class)
public class EngineCommand : Subcommand("engine", "Run the stand-in of a model engine") {
    private val defaults = StandinEngineOptions()
    private val host by option(ArgType.String, "host", description = "IP address").default(defaults.host)
    private val port by option(ArgType.Int, "port", description = "port, 0 for a free one").default(defaults.port)
    private val models by
        option(ArgType.String, "model", description = "NAME=WEIGHTS, may be repeated").multiple()
    private val slots by option(ArgType.Int, "slots", description = "concurrent requests").default(defaults.slots)
    private val cachePieces by
        option(ArgType.Int, "cache-pieces", description = "cache capacity in pieces").default(defaults.cachePieces)
    private val idleEvictionMillis by
        option(ArgType.Int, "idle-eviction-millis", description = "time in ms after which an unused piece is evicted")
            .default(defaults.idleEvictionMillis.toInt())
    private val prefillMillis by
        option(ArgType.Int, "prefill-millis-per-piece", description = "prefill time in ms of an uncached piece")
            .default(defaults.prefillMillisPerPiece.toInt())
    private val decodeMillis by
        option(ArgType.Int, "decode-millis-per-token", description = "decode time of a token in ms")
            .default(defaults.decodeMillisPerToken.toInt())
    private val answerTokens by
        option(ArgType.Int, "answer-tokens", description = "length of answers in tokens").default(defaults.answerTokens)
    private val loadMillis by
        option(ArgType.Int, "load-millis", description = "time of a load in ms").default(defaults.loadMillis.toInt())
    private val ignoreFencing by
        option(ArgType.Boolean, "ignore-fencing", description = "accept outdated fencing numbers").default(false)
    private val capture by
        option(ArgType.Boolean, "capture", description = "include all requests in the statistics").default(false)

    override fun execute() {
        val options =
            StandinEngineOptions(
                host,
                port,
                if (models.isEmpty()) defaults.models else models.map(::parseModel),
                slots,
                cachePieces,
                idleEvictionMillis = idleEvictionMillis.toLong(),
                prefillMillisPerPiece = prefillMillis.toLong(),
                decodeMillisPerToken = decodeMillis.toLong(),
                answerTokens = answerTokens,
                loadMillis = loadMillis.toLong(),
                ignoreFencing = ignoreFencing,
                capture = capture,
            )
        val engine = StandinEngine(options).start()
        runUntilTerminated("engine", host, engine.port, engine)
    }

    private fun parseModel(text: String): StandinModel {
        val (name, weights) = text.split('=', limit = 2).takeIf { it.size == 2 } ?: usageError(text)
        return StandinModel(name, weights)
    }

    private fun usageError(text: String): Nothing =
        throw IllegalArgumentException("--model $text: expected NAME=WEIGHTS")
}
