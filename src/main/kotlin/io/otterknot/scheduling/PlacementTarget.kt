package io.otterknot.scheduling

/**
 * The load of a machine as its scheduler sees it between two heartbeats; Saqr, sections 3.2.2 and 3.2.3.
 *
 * [load] is the booked share that the last heartbeat gave, [drift] the share of tasks placed since: by counting these
 * apart, the scheduler need not write its list of loads for each task that it places.
 */
open class PlacementTarget(load: Double = 0.0, drift: Double = 0.0, idle: Boolean = false) {
    var load = load
        private set
    var drift = drift
        private set
    var idle = idle
        private set

    /** [load] and [drift] together. */
    val driftedLoad: Double get() = load + drift

    /** A heartbeat gives the booked share afresh. */
    fun reported(bookedShare: Double, isIdle: Boolean) {
        load = bookedShare
        drift = 0.0
        idle = isIdle
    }

    /** A task of this [share] is placed, and the load written down with it. */
    fun addLoad(share: Double) {
        load = if (idle) share else load + drift + share
        drift = 0.0
        idle = false
    }

    /** A task of this [share] is placed, and only the drift grows. */
    fun addDrift(share: Double) {
        drift += share
    }

    protected fun markNotIdle() {
        idle = false
    }
}
