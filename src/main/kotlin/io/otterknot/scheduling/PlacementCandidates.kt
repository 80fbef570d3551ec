package io.otterknot.scheduling

import kotlin.random.Random

/** What Saqr keeps of a place that takes work: whether it is idle, its load, and what was added since. */
open class PlacementTarget {
    var idle = false
    var load = 0.0
    var drift = 0.0

    /** A report says afresh what is booked. */
    fun reported(booked: Double, nothingBooked: Boolean) {
        load = booked
        drift = 0.0
        idle = nothingBooked
    }

    /** Takes a task of this [share], being idle or the only one that fits. */
    fun take(share: Double) {
        load = if (idle) share else load + drift + share
        drift = 0.0
        idle = false
    }
}

/**
 * The places that one job's tasks may go to, chosen among as Saqr does (section 3.2): an idle one first, else the
 * lighter of two samples. Places that do not fit any more are found out when they are met, so that dealing out the
 * many tasks of a job does not look at every place for each of them.
 */
class PlacementCandidates<P : PlacementTarget>(places: List<P>, private val fits: (P) -> Boolean) {
    private val fitting = ArrayList<P>(places.size)
    private val idle = ArrayList<P>()

    init {
        for (place in places) {
            if (!fits(place)) continue
            fitting.add(place)
            if (place.idle) idle.add(place)
        }
    }

    /** Chooses a place for a task that takes [share] of each and books it there; null: none fits. */
    fun choose(random: Random, share: (P) -> Double): P? =
        chooseIdle(random)?.also { it.take(share(it)) } ?: chooseLighter(random, share)

    private fun chooseIdle(random: Random): P? {
        while (idle.isNotEmpty()) {
            val at = random.nextInt(idle.size)
            val place = idle[at]
            val last = idle.removeAt(idle.size - 1)
            if (at < idle.size) idle[at] = last
            if (place.idle && fits(place)) return place
        }
        return null
    }

    private fun chooseLighter(random: Random, share: (P) -> Double): P? {
        val first = sample(random, null) ?: return null
        val second = sample(random, first) ?: return first.also { it.take(share(it)) }
        val light = if (second.load < first.load) second else first
        val heavy = if (light === first) second else first
        if (light.drift < heavy.load - light.load) {
            light.drift += share(light)
            return light
        }
        val taken = if (light.load + light.drift <= heavy.load + heavy.drift) light else heavy
        taken.take(share(taken))
        return taken
    }

    /** One of the places that still fit, other than [besides], each as likely as the others. */
    private fun sample(random: Random, besides: P?): P? {
        while (fitting.size > (if (besides == null) 0 else 1)) {
            val at = random.nextInt(fitting.size)
            val place = fitting[at]
            if (place === besides) continue
            if (fits(place)) return place
            val last = fitting.removeAt(fitting.size - 1)
            if (at < fitting.size) fitting[at] = last
        }
        return null
    }
}
