package lacewingweir.benchmark

import io.prometheus.metrics.model.registry.PrometheusRegistry
import lacewingweir.coordination.keys.KeyAgent
import lacewingweir.coordination.peer.FakePeers
import lacewingweir.coordination.store.StoreEntry
import lacewingweir.state.id.CustomerId
import lacewingweir.state.keys.KeyDirectory
import lacewingweir.state.keys.KeyRecord
import lacewingweir.state.keys.KeyRecordCodec
import lacewingweir.state.keys.KeyStatus
import lacewingweir.testing.ManualTimers
import lacewingweir.testing.MemoryConfigStore

/** Measures the retained memory of key records and the time to look one up, to add one and to load all of them. */
internal fun main() {
    warmUp()
    println("records  bytes/record directory  agent  look-up us  one record us  repeated us  load all ms")
    for (size in listOf(500, 2_000, 8_000)) {
        val records = (0 until size).map(::record)
        val (directory, directoryBytes) =
            Measure.retainedBy {
                KeyDirectory.EMPTY.mergedWith(
                    (0 until size).map(::record),
                )
            }
        val bundle = Fleets.bundle(460, 0, 1, 1, 1)
        val withBundle = directory.withBundle(bundle)
        val lookUpMicros = Measure.microsPerCall { checkNotNull(withBundle.customerOf(records[size / 2].digest)) }
        val newRecord = listOf(record(size))
        val addNewMicros = Measure.microsPerCall { check(directory.mergedWith(newRecord) !== directory) }
        val knownRecord = listOf(records[size / 2])
        val addKnownMicros = Measure.microsPerCall { check(directory.mergedWith(knownRecord) === directory) }
        val entries = entries(records)
        val startNanos = Measure.threadCpuNanos()
        loadedAgent(entries)
        val loadMillis = (Measure.threadCpuNanos() - startNanos) / 1e6
        val (_, agentBytes) = Measure.retainedBy { loadedAgent(entries((0 until size).map(::record))) }
        println(
            "%7d %22d %6d %11.2f %14.1f %12.2f %12.1f".format(
                size,
                directoryBytes / size,
                agentBytes / size,
                lookUpMicros,
                addNewMicros,
                addKnownMicros,
                loadMillis,
            ),
        )
    }
}

private fun warmUp() {
    val entries = entries((0 until 2_000).map(::record))
    repeat(5) { loadedAgent(entries) }
}

private fun record(number: Int): KeyRecord =
    KeyRecord(Fleets.digest(number), CustomerId("customer-%04d".format(number % 460)), KeyStatus.GRANTED)

private fun entries(records: List<KeyRecord>): List<StoreEntry> =
    records.mapIndexed { index, record ->
        StoreEntry(KeyRecordCodec.STORE_PREFIX + record.digest, KeyRecordCodec.encode(record), index + 1L)
    }

private fun loadedAgent(entries: List<StoreEntry>): KeyAgent {
    val timers = ManualTimers()
    val agent =
        KeyAgent(
            MemoryConfigStore(),
            FakePeers().join("a"),
            timers,
            { 0 },
            keyFreshnessMillis = 3_000,
            clock = timers,
            registry = PrometheusRegistry(),
        )
    entries.forEach(agent::onStoreEntry)
    agent.onStorePolled()
    return agent
}
