package io.otterknot.leadership

import kotlin.math.ceil
import kotlin.random.Random

/**
 * Judges by the workers that report to this controller whether the leaders of other partitions still answer theirs.
 * Nothing rests on its being right: a leader that is taken over by mistake stops by its own fence.
 *
 * @param controllerCount the number of all controllers of the site
 * @param machineCount the number of machines registered in a zone
 */
class LeaderFailureDetector(
    private val controllerCount: Int,
    private val random: Random,
    private val machineCount: (zone: String) -> Int,
) {
    private val redirectedWorkers = RedirectedWorkers()
    private val lastLeaderChangeMs = HashMap<String, Long>()

    /** Since when the leader of a zone counts as failed, with some jitter so that controllers differ. */
    private val failedSinceMs = HashMap<String, Long>()

    /** A worker is redirected to its leader; [hasLeftLeader]: it had been with that leader before. */
    fun workerRedirected(zone: String, machine: String, hasLeftLeader: Boolean, nowMs: Long) =
        redirectedWorkers.workerRedirected(zone, machine, hasLeftLeader, nowMs)

    /** The partition of [zone] has another leader now, or none. */
    fun leaderChanged(zone: String, nowMs: Long) {
        failedSinceMs.remove(zone)
        redirectedWorkers.clear(zone)
        lastLeaderChangeMs[zone] = nowMs
    }

    /** Whether the leader seems not to answer: a worker redirected there would wait in vain while its lease runs. */
    fun isLeaderSuspected(zone: String, nowMs: Long): Boolean =
        isSettled(zone, nowMs) && redirectedWorkers.departureCount(zone, nowMs) > failureDepartures(zone) / 2

    /**
     * Whether the partition may be taken over from its leader, whose workers report here. Of the controllers that see
     * this, one that leads fewer partitions ([ledPartitionCount]) is first. Soon after a change of leader only workers
     * that returned count: others are on their way still, and late copies of heartbeats go to the earlier leader.
     */
    fun isLeaderFailed(zone: String, ledPartitionCount: Int, nowMs: Long): Boolean {
        if (!haveManyDeparted(zone, nowMs) && !haveManyReturned(zone, nowMs)) {
            failedSinceMs.remove(zone)
            return false
        }
        val sinceMs = failedSinceMs.getOrPut(zone) { nowMs + random.nextLong(JITTER_MS) }
        return nowMs - sinceMs >= ledPartitionCount * DELAY_PER_LED_PARTITION_MS
    }

    private fun haveManyDeparted(zone: String, nowMs: Long): Boolean =
        isSettled(zone, nowMs) && redirectedWorkers.departureCount(zone, nowMs) >= failureDepartures(zone)

    private fun haveManyReturned(zone: String, nowMs: Long): Boolean =
        redirectedWorkers.returnCount(zone, nowMs) >= minOf(MIN_REDIRECTED, maxOf(1, machineCount(zone) / 2))

    /** Whether the last change of leader is so long ago that no worker is on its way because of it. */
    private fun isSettled(zone: String, nowMs: Long): Boolean =
        nowMs - (lastLeaderChangeMs[zone] ?: nowMs) > SETTLING_MS

    private fun failureDepartures(zone: String): Int = departuresOfFailure(machineCount(zone), controllerCount)

    private companion object {
        const val SETTLING_MS = 20_000L
        const val JITTER_MS = 200L
        const val DELAY_PER_LED_PARTITION_MS = 300L
    }
}

/**
 * How many machines must have left their leader, as one other controller sees it, before their number alone speaks
 * against the leader. When it has crashed all of its [machines] leave, a like share to each other of the [controllers];
 * but machines that hang and go on leave it too, and of a large partition many may do so at a time: a fixed number would
 * have its partitions taken over from a sound leader.
 */
fun departuresOfFailure(machines: Int, controllers: Int): Int =
    maxOf(MIN_REDIRECTED, ceil(machines * DEPARTED_SHARE / maxOf(1, controllers - 1)).toInt())

/** So many machines at least must have left or returned; of a small partition half of them must have returned. */
private const val MIN_REDIRECTED = 3
private const val DEPARTED_SHARE = 0.3
