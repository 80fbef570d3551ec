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
}

/** The choice among machines (Saqr, section 3.2): an idle one first, else the lighter of two samples. */
object Saqr {
    /**
     * Chooses among [fitting] places for a task that takes [share] of each and books it there; null: none fits.
     * Which of several idle places is taken is open in the design: [prefer] says which is liked better.
     */
    fun <P : Place> choose(fitting: List<P>, random: Random, share: (P) -> Double, prefer: (P) -> Boolean): P? {
        if (fitting.isEmpty()) return null
        val idle = fitting.filter { it.idle }
        if (idle.isNotEmpty()) {
            val liked = idle.filter(prefer).ifEmpty { idle }
            val taken = liked[random.nextInt(liked.size)]
            taken.idle = false
            taken.load = share(taken)
            taken.drift = 0.0
            return taken
        }
        val first = fitting[random.nextInt(fitting.size)]
        if (fitting.size == 1) return first.also { add(it, share(it)) }
        var other = random.nextInt(fitting.size - 1)
        if (other >= fitting.indexOf(first)) other++
        val second = fitting[other]
        val light = if (second.load < first.load) second else first
        val heavy = if (light === first) second else first
        if (light.drift < heavy.load - light.load) {
            light.drift += share(light)
            return light
        }
        val taken = if (light.load + light.drift <= heavy.load + heavy.drift) light else heavy
        add(taken, share(taken))
        return taken
    }

    private fun add(place: Place, share: Double) {
        place.load += place.drift + share
        place.drift = 0.0
    }
}
