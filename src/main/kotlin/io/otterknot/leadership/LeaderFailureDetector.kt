package io.otterknot.leadership

import kotlin.math.ceil
import kotlin.random.Random

/**
 * Detects unresponsive leaders of other partitions by their workers that report to this controller instead. Safety does
 * not depend on the detection being right: a leader that is taken over by mistake stops acting when its own fence
 * expires.
 *
 * @param controllerCount the number of all controllers of the site, including this one
 * @param machineCount the number of machines registered in a zone
 */
class LeaderFailureDetector(
    private val controllerCount: Int,
    private val random: Random,
    private val machineCount: (zone: String) -> Int,
) {
    private val redirectedWorkers = RedirectedWorkers()
    private val lastLeaderChangeMs = HashMap<String, Long>()

    /** Since when the leader of a zone counts as failed, plus jitter so that controllers do not all act together. */
    private val failedSinceMs = HashMap<String, Long>()

    /** Records that [machine] was redirected to its leader; [hasLeftLeader] is whether it had been with that leader. */
    fun workerRedirected(zone: String, machine: String, hasLeftLeader: Boolean, nowMs: Long) =
        redirectedWorkers.workerRedirected(zone, machine, hasLeftLeader, nowMs)

    /** Records that the partition of [zone] has another leader now, or none. */
    fun leaderChanged(zone: String, nowMs: Long) {
        failedSinceMs.remove(zone)
        redirectedWorkers.clear(zone)
        lastLeaderChangeMs[zone] = nowMs
    }

    /**
     * Whether the leader seems unresponsive, so that a worker redirected to it would get no answer before its lease
     * ends.
     */
    fun isLeaderSuspected(zone: String, nowMs: Long): Boolean =
        isSettled(zone, nowMs) && redirectedWorkers.departureCount(zone, nowMs) > departureThreshold(zone) / 2

    /**
     * Whether the partition may be taken over from its leader because that leader's workers report here. Of several
     * controllers that detect this, one that leads fewer partitions ([ledPartitionCount]) acts first. Soon after a
     * change of leader only workers that returned count: others may still be on their way to the new leader, and
     * delayed copies of heartbeats still reach the earlier one.
     */
    fun isLeaderFailed(zone: String, ledPartitionCount: Int, nowMs: Long): Boolean {
        if (!hasEnoughDepartures(zone, nowMs) && !hasEnoughReturns(zone, nowMs)) {
            failedSinceMs.remove(zone)
            return false
        }
        val sinceMs = failedSinceMs.getOrPut(zone) { nowMs + random.nextLong(JITTER_MS) }
        return nowMs - sinceMs >= ledPartitionCount * DELAY_PER_LED_PARTITION_MS
    }

    private fun hasEnoughDepartures(zone: String, nowMs: Long): Boolean =
        isSettled(zone, nowMs) && redirectedWorkers.departureCount(zone, nowMs) >= departureThreshold(zone)

    private fun hasEnoughReturns(zone: String, nowMs: Long): Boolean =
        redirectedWorkers.returnCount(zone, nowMs) >= minOf(MIN_REDIRECTED, maxOf(1, machineCount(zone) / 2))

    /** Whether the last change of leader is long enough ago that no worker is still on its way because of it. */
    private fun isSettled(zone: String, nowMs: Long): Boolean =
        nowMs - (lastLeaderChangeMs[zone] ?: nowMs) > SETTLING_MS

    private fun departureThreshold(zone: String): Int = failureDepartureThreshold(machineCount(zone), controllerCount)

    private companion object {
        const val SETTLING_MS = 20_000L
        const val JITTER_MS = 200L
        const val DELAY_PER_LED_PARTITION_MS = 300L
    }
}

/**
 * Returns how many machines must have left their leader, as seen by one other controller, before their number alone
 * counts as a failure of the leader. When a leader crashes, all of its [machines] leave it, in equal shares to the
 * other [controllers]. But machines that hang and resume leave it too, and in a large partition many may do so at a
 * time: with a fixed number, a large partition would be taken over from a leader that works.
 */
fun failureDepartureThreshold(machines: Int, controllers: Int): Int =
    maxOf(MIN_REDIRECTED, ceil(machines * DEPARTED_SHARE / maxOf(1, controllers - 1)).toInt())

/** The fewest machines that must have left or returned; in a small partition the return of half of them is enough. */
private const val MIN_REDIRECTED = 3

/** The share of the machines expected after a crash of their leader that must have left it. */
private const val DEPARTED_SHARE = 0.3
