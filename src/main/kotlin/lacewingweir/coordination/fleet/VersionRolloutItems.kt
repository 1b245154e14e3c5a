package lacewingweir.coordination.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.store.revisionWithoutEra

private val logger = KotlinLogging.logger {}

/**
 * The items of rollouts of software versions. Orders and steps that are missing after the store was restored from an
 * older copy are kept, since the copy may be older than they are. Of an item that can't be read, only the revision is
 * taken, with which it can be written again.
 */
internal class VersionRolloutItems {
    private val orders = HashMap<String, StoredOrder>()
    private val statuses = HashMap<String, FleetUpdate.VersionStatus>()
    private var leaderKey: String? = null
    private var stepsKey: String? = null
    private var steps = FleetUpdate.VersionSteps(emptyList())
    private var stepsRevision = 0L
    private var stepsReadable = true

    /** Applies an item that was written at [revision]. */
    fun onWritten(
        key: String,
        update: FleetUpdate.VersionRolloutUpdate,
        revision: Long,
    ) {
        when (update) {
            is FleetUpdate.VersionOrder -> orders[key] = StoredOrder(update.order, revisionWithoutEra(revision))
            is FleetUpdate.VersionStatus -> statuses[key] = update
            is FleetUpdate.VersionSteps -> {
                stepsKey = key
                steps = update
                stepsRevision = revision
                stepsReadable = true
            }
            is FleetUpdate.VersionStepsUnreadable -> {
                logger.warn { "directory: unreadable item key=$key reason=${update.reason}" }
                stepsKey = key
                stepsRevision = revision
                stepsReadable = false
            }
            is FleetUpdate.VersionStatusUnreadable -> {
                logger.warn { "directory: unreadable item key=$key reason=${update.reason}" }
                statuses.remove(key)
            }
            FleetUpdate.VersionRolloutLeader -> leaderKey = key
        }
    }

    fun onRemoved(key: String) {
        if (key == leaderKey) leaderKey = null
        orders.remove(key)
        statuses.remove(key)
        if (key == stepsKey) {
            steps = FleetUpdate.VersionSteps(emptyList())
            stepsRevision = 0
            stepsReadable = true
        }
    }

    /** Removes what is not among the [present] keys of a listing. */
    fun onListed(
        present: Set<String>,
        restored: Boolean,
    ) {
        if (leaderKey !in present) leaderKey = null
        statuses.keys.retainAll(present)
        if (!restored) orders.keys.retainAll(present)
        if (stepsKey !in present) {
            stepsRevision = 0
            stepsReadable = true
            if (!restored) steps = FleetUpdate.VersionSteps(emptyList())
        }
    }

    fun toStored() =
        StoredRollouts(
            orders = orders.values.associateBy { it.order.service },
            steps = steps.steps.associateBy { it.service },
            allowed = steps.allowed,
            statuses = statuses.values.associateBy { it.service },
            revision = stepsRevision,
            leaderPresent = leaderKey != null,
            readable = stepsReadable,
        )
}
