package io.otterknot.scheduling

import kotlin.random.Random

/**
 * The targets on which the tasks of one job may be placed. As in Saqr (section 3.2), a task is placed on an idle target
 * if there is one, otherwise by the power of two choices. Targets that have become full are discarded when they are
 * sampled, so that placing many tasks of a job does not check every target for each of them.
 */
class PlacementCandidates<T : PlacementTarget>(targets: List<T>, private val fits: (T) -> Boolean) {
    private val fitting = ArrayList<T>(targets.size)
    private val idle = ArrayList<T>()

    init {
        for (target in targets) {
            if (!fits(target)) continue
            fitting.add(target)
            if (target.idle) idle.add(target)
        }
    }

    /**
     * Chooses a target for a task that takes [share] of it, and adds that share to the target's load. Returns null if
     * the task fits on no target.
     */
    fun choose(random: Random, share: (T) -> Double): T? {
        val idleTarget = chooseIdle(random) ?: return chooseLessLoaded(random, share)
        idleTarget.addLoad(share(idleTarget))
        return idleTarget
    }

    private fun chooseIdle(random: Random): T? {
        while (idle.isNotEmpty()) {
            val index = random.nextInt(idle.size)
            val target = idle[index]
            idle.removeUnordered(index)
            if (target.idle && fits(target)) return target
        }
        return null
    }

    /**
     * Chooses by the power of two choices. While the drift of the lighter target is below the difference of the two
     * loads, the drift does not change which target is lighter.
     */
    private fun chooseLessLoaded(random: Random, share: (T) -> Double): T? {
        val first = sample(random, excluded = null) ?: return null
        val second = sample(random, excluded = first) ?: return first.also { it.addLoad(share(it)) }
        val lighter = if (second.load < first.load) second else first
        val heavier = if (lighter === first) second else first
        if (lighter.drift < heavier.load - lighter.load) {
            lighter.addDrift(share(lighter))
            return lighter
        }
        val chosen = if (lighter.driftedLoad <= heavier.driftedLoad) lighter else heavier
        chosen.addLoad(share(chosen))
        return chosen
    }

    /**
     * Samples uniformly one of the targets that still fit, other than [excluded]. Returns null if there is none.
     */
    private fun sample(random: Random, excluded: T?): T? {
        val excludedCount = if (excluded == null) 0 else 1
        while (fitting.size > excludedCount) {
            val index = random.nextInt(fitting.size)
            val target = fitting[index]
            if (target === excluded) continue
            if (fits(target)) return target
            fitting.removeUnordered(index)
        }
        return null
    }

    /** Removes the element at [index] in constant time by moving the last element there. */
    private fun ArrayList<T>.removeUnordered(index: Int) {
        val last = removeAt(size - 1)
        if (index < size) this[index] = last
    }
}
