package io.otterknot.controller

import io.otterknot.autoscaling.MachineTypeCatalog
import io.otterknot.jobs.Job
import io.otterknot.jobs.JobTable
import io.otterknot.leadership.PartitionLeadership
import io.otterknot.partition.Partition
import io.otterknot.quota.QuotaShares
import io.otterknot.records.PartitionLoadRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.decodeRecord
import io.otterknot.scheduling.PartitionView
import io.otterknot.store.ReplicaEntry
import io.otterknot.wire.MachineTypes

/**
 * Dispatches each change of the replica to the owners of the state that depends on it, in the order of the changes. It
 * is the replica's only change listener. Owns no state.
 */
class ReplicaChangeDispatcher(
    private val jobs: JobTable,
    private val partitions: Map<String, Partition>,
    private val machines: RegisteredMachines,
    private val leadership: PartitionLeadership,
    private val catalog: MachineTypeCatalog,
    private val quotaShares: QuotaShares,
    private val views: Map<String, PartitionView>,
) {
    /** Applies a change of [key]; [entry] is its new value, or null if the key was removed. */
    fun applyChange(key: String, entry: ReplicaEntry?) {
        when {
            key.startsWith(StoreKeys.JOBS) -> updateJobs(jobs.applyJobChange(key, entry))
            key.startsWith(StoreKeys.DEPENDENCIES) -> updateJobs(jobs.applyDependencySegment(key, entry))
            key.startsWith(StoreKeys.COMPLETIONS) -> updateCompletions(jobs.applyCompletionSegment(key, entry))
            key.startsWith(StoreKeys.MACHINES) -> updateMachines(key.removePrefix(StoreKeys.MACHINES))
            key.startsWith(StoreKeys.PARTITIONS) -> updateLeader(key.removePrefix(StoreKeys.PARTITIONS), entry)
            key.startsWith(StoreKeys.TAKEOVERS) -> updateTakeover(key.removePrefix(StoreKeys.TAKEOVERS), entry)
            key == StoreKeys.MACHINE_TYPES -> updateMachineTypes(entry)
            key.startsWith(StoreKeys.QUOTA_SHARES) -> updateQuotaShares(key.removePrefix(StoreKeys.QUOTA_SHARES))
            key.startsWith(StoreKeys.PARTITION_LOADS) -> updateLoad(key.removePrefix(StoreKeys.PARTITION_LOADS), entry)
        }
    }

    private fun updateJobs(changed: List<Job>) {
        for (partition in partitions.values) {
            for (job in changed) partition.updateJob(job, inherited = false)
        }
    }

    private fun updateCompletions(changed: List<Job>) {
        for (job in changed) {
            for (partition in partitions.values) partition.applyCompletions(job)
        }
    }

    /** Applies a change of a machine segment; [segment] is its zone and number, separated by a slash. */
    private fun updateMachines(segment: String) {
        val zone = segment.substringBefore('/')
        machines.invalidate(zone)
        partitions[zone]?.fleet?.updateRegistered(machines.typesByMachine(zone).keys)
    }

    private fun updateLeader(zone: String, entry: ReplicaEntry?) = leadership.leaderRecordChanged(zone, entry?.version)

    private fun updateTakeover(zone: String, entry: ReplicaEntry?) =
        leadership.takeoverMarkers.markerChanged(zone, isPresent = entry != null)

    private fun updateQuotaShares(team: String) = quotaShares.sharesChanged(team)

    private fun updateMachineTypes(entry: ReplicaEntry?) {
        if (entry != null) catalog.restore(decodeRecord(MachineTypes.serializer(), entry.value).types)
    }

    private fun updateLoad(zone: String, entry: ReplicaEntry?) {
        val view = views[zone] ?: return
        view.update(entry?.let { decodeRecord(PartitionLoadRecord.serializer(), it.value) } ?: NO_LOAD)
    }

    private companion object {
        /** The load assumed for a partition whose leader has published none. */
        val NO_LOAD = PartitionLoadRecord(0.0)
    }
}
