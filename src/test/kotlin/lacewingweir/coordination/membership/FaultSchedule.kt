package lacewingweir.coordination.membership

import lacewingweir.state.id.InstanceName
import lacewingweir.state.membership.EpochPhase
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random

/** One randomised run of a fleet, reproducible from its seed. Ends with all faults healed and a settled fleet. */
internal class FaultSchedule(
    private val seed: Long,
) {
    private val random = Random(seed)
    private val names = List(random.nextInt(5, 8)) { "n$it" }
    private val fleet = FakeFleet(random, afterStep = ::afterStep)
    private val faults: List<() -> Unit> =
        listOf(
            ::pause,
            ::pause,
            ::cutOneWay,
            ::cutOneWay,
            ::cutOff,
            ::storeCut,
            ::storeDown,
            ::losingAnswers,
            ::losingAnswers,
            ::losingAnswers,
            ::restart,
            ::restart,
            ::longStop,
            ::longStop,
            ::leave,
            ::herd,
            ::loss,
            ::slowShrink,
            ::offersLost,
            ::offersLost,
            ::staleMajority,
            ::staleMajority,
        )

    fun run(): Map<String, Long> {
        names.forEach { name -> fleet.at(fleet.now + random.nextLong(3_000)) { fleet.start(name) } }
        fleet.runFor(20_000)
        repeat(FAULTS) {
            if (random.nextInt(4) > 0) fleet.runFor(random.nextLong(500, 9_000))
            faults.random(random)()
        }
        fleet.runFor(40_000)
        fleet.heal()
        fleet.runFor(120_000)
        checkSettled()
        names.forEach { fleet.stop(InstanceName(it)) }
        return fleet.counts
    }

    // Guards against a rule so strict that the fleet never recovers.
    private fun checkSettled() {
        val document = fleet.store.epoch()
        expectThat(document?.phase).describedAs("phase, seed $seed").isEqualTo(EpochPhase.ACTIVE)
        expectThat(document?.members?.map { it.value }).describedAs("members, seed $seed").isEqualTo(names)
        expectThat(fleet.ownedShares()).describedAs("shares, seed $seed").isEqualTo(
            FakeFleet.WHOLE / names.size * names.size,
        )
    }

    private fun afterStep(fleet: FakeFleet) {
        checkShares(fleet)
        for (process in fleet.processes.values) {
            if (process.pausedUntil > fleet.now || process.agent.current() == null) continue
            val polled = process.lastPollMillis?.let { process.clock.nowMillis() - it } ?: Long.MAX_VALUE
            val stale = process.agent.ageMillis() >= fleet.limits.authorityMillis
            if (!stale && polled >= fleet.limits.authorityMillis) fleet.count(MAJORITY_ONLY)
            if (stale && process.pausedUntil == fleet.now) fleet.count(WOKE_STALE)
        }
    }

    private fun any() =
        fleet.processes.values
            .toList()
            .random(random)

    private fun soon() = fleet.now + random.nextLong(4_000, 25_000)

    private fun pause() = any().pause(random.nextLong(500, 18_000))

    private fun cutOneWay() {
        val from = any()
        fleet.processes.values.filter { it !== from && random.nextBoolean() }.forEach {
            fleet.cut(
                from.name,
                it.name,
                soon(),
            )
        }
    }

    private fun cutOff() {
        val one = any()
        val until = soon()
        fleet.processes.keys.forEach {
            fleet.cut(one.name, it, until)
            fleet.cut(it, one.name, until)
        }
        if (random.nextBoolean()) one.storeCutUntil = until
    }

    private fun storeCut() =
        fleet.processes.values.filter { random.nextInt(3) == 0 }.forEach {
            it.storeCutUntil =
                soon()
        }

    private fun storeDown() {
        fleet.store.downUntil = soon()
    }

    private fun losingAnswers() {
        fleet.store.losingUntil = soon()
    }

    private fun restart() {
        fleet.count(RESTART)
        fleet.start(any().name.value)
    }

    private fun longStop() {
        if (fleet.processes.size * 2 <= names.size + 2) return
        val name = any().name
        fleet.stop(name)
        fleet.at(fleet.now + random.nextLong(9_000, 30_000)) { fleet.start(name.value) }
    }

    private fun leave() {
        val leaver = any()
        leaver.agent.leave()
        fleet.at(fleet.now + random.nextLong(3_000, 9_000)) {
            if (fleet.processes[leaver.name] === leaver) fleet.start(leaver.name.value)
        }
    }

    private fun herd() {
        fleet.count(HERD)
        fleet.store.downUntil = fleet.now + 20_000
        fleet.processes.keys
            .drop(1)
            .forEach { fleet.start(it.value) }
    }

    private fun loss() {
        fleet.lossUntil = soon()
        fleet.slowUntil = soon()
    }

    // Without offers between peers, only the votes keep an instance without the store from going on in an old epoch.
    private fun offersLost() {
        fleet.offersLostUntil = soon()
    }

    private fun slowShrink() {
        any().shrinkBlockedUntil = soon()
    }

    // An instance that missed a change meets restarted ones, which together are a majority of the old epoch.
    private fun staleMajority() {
        val stale = any().name
        val met = fleet.now + 17_000
        val end = met + 15_000
        separate(setOf(stale), met)
        fleet.processes.getValue(stale).storeCutUntil = end
        fleet.at(met) {
            val side = (fleet.processes.keys - stale).shuffled(random).take(names.size / 2)
            side.forEach { fleet.start(it.value).storeCutUntil = end }
            separate(side.toSet() + stale, end)
        }
    }

    private fun separate(
        side: Set<InstanceName>,
        until: Long,
    ) {
        for (one in names.map(::InstanceName).filter { it in side }) {
            names.map(::InstanceName).filter { it !in side }.forEach { other ->
                fleet.cut(one, other, until)
                fleet.cut(other, one, until)
            }
        }
    }

    companion object {
        const val MAJORITY_ONLY = "PROOF_BY_MAJORITY_ONLY"
        const val RESTART = "RESTART"
        const val HERD = "RESTART_OF_ALL_BUT_ONE"
        const val WOKE_STALE = "WOKE_WITHOUT_PROOF"
        private const val FAULTS = 60

        fun checkShares(fleet: FakeFleet) {
            val sum = fleet.ownedShares()
            check(sum <= FakeFleet.WHOLE) {
                val owners =
                    fleet.processes.values.map {
                        "${it.name}: ${it.agent.current()} age ${it.agent.ageMillis()} ${it.agent.document()}"
                    }
                "at ${fleet.now} shares sum to $sum / ${FakeFleet.WHOLE}:\n${owners.joinToString("\n")}"
            }
        }
    }
}
