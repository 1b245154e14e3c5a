package lacewingweir.cli.measure

import lacewingweir.load.ObservedRequest
import lacewingweir.load.RequestOutcome
import lacewingweir.state.placement.PrefixChain

/** A finished request of a cell. [pieces] holds the hashes of the prompt's pieces in place of its text. */
internal class RequestSample(
    val dueSeconds: Double,
    val customer: String,
    val label: String,
    val pieces: LongArray,
    val outcome: RequestOutcome,
) {
    companion object {
        private const val BYTES_PER_TOKEN: Int = 4

        fun of(request: ObservedRequest): RequestSample {
            // Engines hash prompts as lines of the form "role: text". The same form gives the same piece boundaries.
            val promptBytes = "user: ${request.prompt}\n".encodeToByteArray()
            val pieceBytes = MeasurementSite.PIECE_TOKENS * BYTES_PER_TOKEN
            val chain = PrefixChain.of(request.customer, promptBytes, pieceBytes, MeasurementSite.PIECE_TOKENS)
            return RequestSample(request.dueSeconds, request.customer, request.label, chain.hashes, request.outcome)
        }
    }
}
