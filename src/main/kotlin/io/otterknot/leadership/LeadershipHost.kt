package io.otterknot.leadership

/** What [PartitionLeadership] needs from the controller that it is a part of. */
interface LeadershipHost {
    /**
     * Whether this controller could serve a partition after acquiring it; false until the machine types are known. If
     * it acquired one before, it would keep the workers' leases alive without giving the workers commands.
     */
    val canServePartitions: Boolean

    /** The machines that are registered in [zone], as the replica shows them. */
    fun registeredMachines(zone: String): Set<String>
}

/** Notified when this controller becomes or ceases to be the leader of a partition. */
interface LeadershipListener {
    fun leadershipAcquired(acquisition: LeadershipAcquisition)

    /** From this call on nothing may be done for the partition of [zone]. Called at most once per acquisition. */
    fun leadershipLost(zone: String)
}

/**
 * The acquisition of a partition by this controller. It may serve the partition once the replica has reached
 * [fencingToken], which is the revision of the acquisition: the replica then holds everything that was stored before.
 *
 * @property isForcedTakeover whether the previous leader may still act, until its own fence expires
 */
class LeadershipAcquisition(val zone: String, val fencingToken: Long, val isForcedTakeover: Boolean)
