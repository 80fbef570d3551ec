package io.otterknot.leadership

/** What leadership asks of the controller that it is a part of. */
interface LeadershipHost {
    /**
     * Whether a partition could be served once it is acquired; without that its workers would be kept alive and given
     * no commands. False until the machine types are known.
     */
    val canServePartitions: Boolean

    /** The machines that are registered in [zone], as the replica shows them. */
    fun registeredMachines(zone: String): Set<String>
}

/** Told when this controller becomes or ceases to be the leader of a partition. */
interface LeadershipListener {
    fun leadershipAcquired(acquisition: LeadershipAcquisition)

    /** From this call on nothing may be done for the partition of [zone]. Called at most once for an acquisition. */
    fun leadershipLost(zone: String)
}

/**
 * This controller has become the leader of a partition. It may serve it once the replica has reached [fencingToken],
 * which is the revision of the acquisition: everything that was stored before is then known.
 *
 * @property isForcedTakeover whether the leader before may still act, until its own fence ends
 */
class LeadershipAcquisition(val zone: String, val fencingToken: Long, val isForcedTakeover: Boolean)
