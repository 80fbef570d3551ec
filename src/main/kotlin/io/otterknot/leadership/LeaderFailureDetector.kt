package io.otterknot.leadership

import kotlin.math.ceil
import kotlin.random.Random

/**
 * Judges by the workers that come to this node whether the owners of other partitions still answer theirs.
 * [machineCount] is the number of machines registered in a zone, [nodes] the number of all nodes.
 */
class LeaderFailureDetector(
    private val nodes: Int,
    private val random: Random,
    private val machineCount: (zone: String) -> Int,
) {
    private val misdirected = RedirectedWorkers()
    private val changedMs = HashMap<String, Long>()
    private val suspectedSinceMs = HashMap<String, Long>()

    /** A worker is sent to the owner of its partition; [leftOwner]: it had been with that owner before. */
    fun sent(zone: String, machine: String, leftOwner: Boolean, now: Long) =
        misdirected.sent(zone, machine, now, leftOwner)

    /** The partition has got another owner, or none. */
    fun ownerChanged(zone: String, now: Long) {
        suspectedSinceMs.remove(zone)
        misdirected.forget(zone)
        changedMs[zone] = now
    }

    /** Whether the owner seems not to answer: a worker sent there would wait in vain while its lease runs. */
    fun isDoubtful(zone: String, now: Long): Boolean =
        isSettled(zone, now) && misdirected.left(zone, now) > manyLeft(zone) / 2

    /**
     * Whether the partition may be claimed from its owner, whose workers come here. Of the nodes that see this, one
     * with fewer partitions, [owned], is first. Soon after a change of owner some are on their way still, and late
     * copies of reports come to where the owner was.
     */
    fun isAbandoned(zone: String, owned: Int, now: Long): Boolean {
        val left = isSettled(zone, now) && misdirected.left(zone, now) >= manyLeft(zone)
        val fewReturned = misdirected.count(zone, now) < minOf(FEW_MISDIRECTED, maxOf(1, machineCount(zone) / 2))
        if (!left && fewReturned) {
            suspectedSinceMs.remove(zone)
            return false
        }
        val since = suspectedSinceMs.getOrPut(zone) { now + random.nextLong(JITTER_MS) }
        return now - since >= owned * WAIT_FOR_EACH_OWNED_MS
    }

    private fun isSettled(zone: String, now: Long) = now - (changedMs[zone] ?: now) > SETTLED_MS

    /** That so many have left their owner is not the machines' doing. */
    private fun manyLeft(zone: String) = manyMisdirected(machineCount(zone), nodes)

    private companion object {
        const val SETTLED_MS = 20_000L
        const val JITTER_MS = 200L
        const val WAIT_FOR_EACH_OWNED_MS = 300L
    }
}

/**
 * How many machines must have left their owner, as one other node sees it, before their number alone speaks against the
 * owner. When it has crashed all of them leave, a like share to each other node; but machines that hang and go on leave
 * it too, and of a large partition many may do so at a time: a fixed number would have its partitions claimed from a
 * sound owner.
 */
fun manyMisdirected(machines: Int, nodes: Int): Int =
    maxOf(FEW_MISDIRECTED, ceil(machines * MISDIRECTED_SHARE / maxOf(1, nodes - 1)).toInt())

private const val FEW_MISDIRECTED = 3
private const val MISDIRECTED_SHARE = 0.3
