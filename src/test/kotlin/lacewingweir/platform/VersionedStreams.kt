/** Engines and streams whose events name the software version that made them. */
package lacewingweir.platform

private const val STREAM_EVENTS = 40
private const val STREAM_EVENT_MILLIS = 20L

/** Lets the engine answer for most of a second, with events that name its software version. */
internal fun StandinPromptEngine.streamSlowly() {
    events = STREAM_EVENTS
    eventMillis = STREAM_EVENT_MILLIS
    piece = { "piece$it of $software" }
}

/** Ends the engine and removes its item from the store, as at the end of an orderly stop. */
internal fun StandinPromptEngine.leave(store: StandinKeyValueStore) {
    close()
    store.remove("servers/$id")
}

/** The versions that made the events of the stream. */
internal val RouterFleet.CallerStream.versions: Set<String>
    get() = events.map { it.substringAfterLast(' ') }.toSet()

/** Returns the events of the [streams] that have events of several versions, or events that are not in order. */
internal fun mixedStreams(streams: List<RouterFleet.CallerStream>): List<List<String>> =
    streams
        .filterNot { stream ->
            val inOrder = stream.events.mapIndexed { n, event -> event.startsWith("piece${n + 1} ") }.all { it }
            stream.versions.size <= 1 && inOrder
        }.map { it.events }
