package io.otterknot.scheduling

/**
 * The load of a machine as its scheduler estimates it between two heartbeats; see Saqr, sections 3.2.2 and 3.2.3.
 *
 * [load] is the booked share as of the last heartbeat, [drift] the share of the tasks placed since then. They are
 * counted separately so that the scheduler does not have to update its list of loads for each task that it places.
 */
open class PlacementTarget(load: Double = 0.0, drift: Double = 0.0, idle: Boolean = false) {
    var load = load
        private set
    var drift = drift
        private set
    var idle = idle
        private set

    /** The sum of [load] and [drift]. */
    val driftedLoad: Double get() = load + drift

    /** Sets the load to the booked share at a heartbeat and clears the drift. */
    fun reported(bookedShare: Double, isIdle: Boolean) {
        load = bookedShare
        drift = 0.0
        idle = isIdle
    }

    /** Records a placed task of this [share] in the load, together with the drift so far. */
    fun addLoad(share: Double) {
        load = if (idle) share else load + drift + share
        drift = 0.0
        idle = false
    }

    /** Records a placed task of this [share] in the drift alone. */
    fun addDrift(share: Double) {
        drift += share
    }

    protected fun markNotIdle() {
        idle = false
    }
}
