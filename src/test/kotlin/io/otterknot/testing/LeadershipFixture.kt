package io.otterknot.testing

import io.otterknot.leadership.LeadershipAcquisition
import io.otterknot.leadership.LeadershipHost
import io.otterknot.leadership.LeadershipListener
import io.otterknot.leadership.LeadershipSettings
import io.otterknot.leadership.PartitionLeadership
import io.otterknot.partition.Partition
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlin.random.Random

/**
 * The partition leadership of the controller [label], which may acquire partitions at any time. A partition whose
 * leadership it loses is removed from [partitions].
 */
fun StoreFixture.leadership(
    label: String,
    domains: Map<String, String>,
    zones: List<String> = domains.values.toList(),
    partitions: MutableMap<String, Partition> = HashMap(),
    onAcquired: (LeadershipAcquisition) -> Unit = {},
): PartitionLeadership {
    val host = object : LeadershipHost {
        override val canServePartitions = true
        override fun registeredMachines(zone: String) = emptySet<String>()
    }
    val listener = object : LeadershipListener {
        override fun leadershipAcquired(acquisition: LeadershipAcquisition) = onAcquired(acquisition)

        override fun leadershipLost(zone: String) {
            partitions.remove(zone)
        }
    }
    val settings = LeadershipSettings(label, zones, domains, storeLeaseTtlMs = 20_000)
    return PartitionLeadership(settings, client, replica, host, listener, now, Random(1))
}

/** Starts the background tasks with which [leadership] acquires partitions and keeps them, in this scope. */
fun CoroutineScope.startLeadership(fixture: StoreFixture, leadership: PartitionLeadership) {
    launch { fixture.replica.followWatch() }
    launch { leadership.keepStoreLease() }
    launch { leadership.acquirePartitions() }
}
