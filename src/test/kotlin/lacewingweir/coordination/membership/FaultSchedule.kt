package lacewingweir.coordination.membership

import lacewingweir.state.id.InstanceName
import lacewingweir.state.membership.EpochPhase
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random

/**
 * A run of a simulated fleet with random faults, reproducible from its seed. At its end, all faults are removed and the
 * fleet must recover.
 */
internal class FaultSchedule(
    private val seed: Long,
) {
    private val random = Random(seed)
    private val names = List(random.nextInt(5, 8)) { "n$it" }
    private val fleet = FakeFleet(random, afterEvent = ::afterEvent)
    private val faults: List<() -> Unit> =
        listOf(
            ::pause,
            ::pause,
            ::cutOneWay,
            ::cutOneWay,
            ::isolateProcess,
            ::cutOffStore,
            ::stopStore,
            ::loseStoreResponses,
            ::loseStoreResponses,
            ::loseStoreResponses,
            ::restart,
            ::restart,
            ::stopAndRestartLater,
            ::stopAndRestartLater,
            ::leave,
            ::restartAllButOne,
            ::loseAndDelayMessages,
            ::delayShrink,
            ::loseEpochOffers,
            ::loseEpochOffers,
            ::reconnectStaleMember,
            ::reconnectStaleMember,
        )

    fun run(): Map<String, Long> {
        names.forEach { name -> fleet.schedule(fleet.now + random.nextLong(3_000)) { fleet.start(name) } }
        fleet.runFor(20_000)
        repeat(FAULTS) {
            if (random.nextInt(4) > 0) fleet.runFor(random.nextLong(500, 9_000))
            faults.random(random)()
        }
        fleet.runFor(40_000)
        fleet.clearFaults()
        fleet.runFor(120_000)
        checkRecovered()
        names.forEach { fleet.stop(InstanceName(it)) }
        return fleet.counts
    }

    // Guards against membership rules that are so strict that the fleet never recovers.
    private fun checkRecovered() {
        val document = fleet.store.epoch()
        expectThat(document?.phase).describedAs("phase, seed $seed").isEqualTo(EpochPhase.ACTIVE)
        expectThat(document?.members?.map { it.value }).describedAs("members, seed $seed").isEqualTo(names)
        expectThat(fleet.ownedShares()).describedAs("shares, seed $seed").isEqualTo(
            FakeFleet.WHOLE_RATE_UNITS / names.size * names.size,
        )
    }

    private fun afterEvent(fleet: FakeFleet) {
        checkShares(fleet)
        for (process in fleet.processes.values) {
            if (process.pausedUntil > fleet.now || process.agent.current() == null) continue
            val pollAgeMillis = process.lastPollMillis?.let { process.clock.nowMillis() - it } ?: Long.MAX_VALUE
            val stale = process.agent.ageMillis() >= fleet.limits.authorityMillis
            if (!stale && pollAgeMillis >= fleet.limits.authorityMillis) fleet.count(MAJORITY_ONLY)
            if (stale && process.pausedUntil == fleet.now) fleet.count(RESUMED_WITHOUT_PROOF)
        }
    }

    private fun randomProcess() =
        fleet.processes.values
            .toList()
            .random(random)

    private fun randomFaultEnd() = fleet.now + random.nextLong(4_000, 25_000)

    private fun pause() = randomProcess().pause(random.nextLong(500, 18_000))

    private fun cutOneWay() {
        val from = randomProcess()
        fleet.processes.values.filter { it !== from && random.nextBoolean() }.forEach {
            fleet.cut(
                from.name,
                it.name,
                randomFaultEnd(),
            )
        }
    }

    private fun isolateProcess() {
        val isolated = randomProcess()
        val until = randomFaultEnd()
        fleet.processes.keys.forEach {
            fleet.cut(isolated.name, it, until)
            fleet.cut(it, isolated.name, until)
        }
        if (random.nextBoolean()) isolated.storeCutUntil = until
    }

    private fun cutOffStore() =
        fleet.processes.values.filter { random.nextInt(3) == 0 }.forEach {
            it.storeCutUntil =
                randomFaultEnd()
        }

    private fun stopStore() {
        fleet.store.downUntil = randomFaultEnd()
    }

    private fun loseStoreResponses() {
        fleet.store.losingResponsesUntil = randomFaultEnd()
    }

    private fun restart() {
        fleet.count(RESTART)
        fleet.start(randomProcess().name.value)
    }

    private fun stopAndRestartLater() {
        if (fleet.processes.size * 2 <= names.size + 2) return
        val name = randomProcess().name
        fleet.stop(name)
        fleet.schedule(fleet.now + random.nextLong(9_000, 30_000)) { fleet.start(name.value) }
    }

    private fun leave() {
        val leavingProcess = randomProcess()
        leavingProcess.agent.leave()
        fleet.schedule(fleet.now + random.nextLong(3_000, 9_000)) {
            if (fleet.processes[leavingProcess.name] === leavingProcess) fleet.start(leavingProcess.name.value)
        }
    }

    private fun restartAllButOne() {
        fleet.count(RESTART_ALL_BUT_ONE)
        fleet.store.downUntil = fleet.now + 20_000
        fleet.processes.keys
            .drop(1)
            .forEach { fleet.start(it.value) }
    }

    private fun loseAndDelayMessages() {
        fleet.messageLossUntil = randomFaultEnd()
        fleet.messageDelayUntil = randomFaultEnd()
    }

    // An instance that receives no epoch offers and can't read the store doesn't learn of a newer epoch. Only the lack
    // of votes keeps it from using its share of the old one.
    private fun loseEpochOffers() {
        fleet.offersLostUntil = randomFaultEnd()
    }

    private fun delayShrink() {
        randomProcess().shrinkBlockedUntil = randomFaultEnd()
    }

    // Connects a member that missed an epoch change only with restarted members. Together they are a majority of the
    // old epoch.
    private fun reconnectStaleMember() {
        val stale = randomProcess().name
        val reconnectAtMillis = fleet.now + 17_000
        val endMillis = reconnectAtMillis + 15_000
        partition(setOf(stale), reconnectAtMillis)
        fleet.processes.getValue(stale).storeCutUntil = endMillis
        fleet.schedule(reconnectAtMillis) {
            val side = (fleet.processes.keys - stale).shuffled(random).take(names.size / 2)
            side.forEach { fleet.start(it.value).storeCutUntil = endMillis }
            partition(side.toSet() + stale, endMillis)
        }
    }

    private fun partition(
        side: Set<InstanceName>,
        until: Long,
    ) {
        for (inside in names.map(::InstanceName).filter { it in side }) {
            names.map(::InstanceName).filter { it !in side }.forEach { outside ->
                fleet.cut(inside, outside, until)
                fleet.cut(outside, inside, until)
            }
        }
    }

    companion object {
        const val MAJORITY_ONLY = "PROOF_BY_MAJORITY_ONLY"
        const val RESTART = "RESTART"
        const val RESTART_ALL_BUT_ONE = "RESTART_OF_ALL_BUT_ONE"
        const val RESUMED_WITHOUT_PROOF = "WOKE_WITHOUT_PROOF"
        private const val FAULTS = 60

        fun checkShares(fleet: FakeFleet) {
            val sum = fleet.ownedShares()
            check(sum <= FakeFleet.WHOLE_RATE_UNITS) {
                val owners =
                    fleet.processes.values.map {
                        "${it.name}: ${it.agent.current()} age ${it.agent.ageMillis()} ${it.agent.document()}"
                    }
                "at ${fleet.now} shares sum to $sum / ${FakeFleet.WHOLE_RATE_UNITS}:\n${owners.joinToString("\n")}"
            }
        }
    }
}
