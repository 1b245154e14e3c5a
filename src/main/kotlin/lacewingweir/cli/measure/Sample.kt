package lacewingweir.cli.measure

import lacewingweir.load.ObservedRequest
import lacewingweir.load.RequestOutcome
import lacewingweir.state.placement.PrefixChain

/** One finished request of a cell, with the hashes of its prompt's pieces in place of the prompt. */
internal class Sample(
    val dueSeconds: Double,
    val customer: String,
    val label: String,
    val pieces: LongArray,
    val outcome: RequestOutcome,
) {
    companion object {
        private const val BYTES_PER_TOKEN: Int = 4

        fun of(request: ObservedRequest): Sample {
            // Engines hash the prompt as "role: text" lines, so that pieces end at the same bytes here.
            val text = "user: ${request.prompt}\n".encodeToByteArray()
            val bytes = MeasuredSite.PIECE_TOKENS * BYTES_PER_TOKEN
            val chain = PrefixChain.of(request.customer, text, bytes, MeasuredSite.PIECE_TOKENS)
            return Sample(request.dueSeconds, request.customer, request.label, chain.hashes, request.outcome)
        }
    }
}
