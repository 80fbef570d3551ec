package io.otterknot.scheduling

import kotlin.random.Random

/**
 * The targets that the tasks of one job may be placed on, chosen among as Saqr does (section 3.2): an idle one if there
 * is any, else the power of two choices. Targets that do not fit any more are found out when they are drawn, so that
 * placing the many tasks of a job does not look at every target for each of them.
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

    /** Chooses a target for a task that takes [share] of each, and adds that to its load; null: none fits. */
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

    /** The power of two choices. While the drift is below the gap of the loads, it cannot change which is lighter. */
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

    /** One of the targets that still fit, other than [excluded], each as likely as the others; null: none. */
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

    /** Removes in constant time; the last element takes the place. */
    private fun ArrayList<T>.removeUnordered(index: Int) {
        val last = removeAt(size - 1)
        if (index < size) this[index] = last
    }
}
