package io.otterknot.placement

import kotlin.random.Random

/** What Saqr keeps of a place that takes work: whether it is idle, its load, and what was added since. */
open class Place {
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
class Candidates<P : Place>(places: List<P>, private val fits: (P) -> Boolean) {
    private val fitting = ArrayList<P>(places.size)
    private val idle = ArrayList<P>()

    init {
        for (place in places) {
            if (!fits(place)) continue
            fitting.add(place)
            if (place.idle) idle.add(place)
        }
    }

    /**
     * Chooses a place for a task that takes [share] of each and books it there; null: none fits. Which of several
     * idle places is taken is open in the design: [prefer] says which is liked better.
     */
    fun choose(random: Random, share: (P) -> Double, prefer: (P) -> Boolean): P? =
        chooseIdle(random, prefer)?.also { it.take(share(it)) } ?: chooseLighter(random, share)

    private fun chooseIdle(random: Random, prefer: (P) -> Boolean): P? {
        if (idle.isEmpty()) return null
        idle.removeIf { !it.idle || !fits(it) }
        if (idle.isEmpty()) return null
        val liked = idle.count(prefer)
        if (liked == 0) return idle[random.nextInt(idle.size)]
        var skip = random.nextInt(liked)
        return idle.first { prefer(it) && skip-- == 0 }
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
