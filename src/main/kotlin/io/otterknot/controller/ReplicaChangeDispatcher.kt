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

/** Tells each change of the replica to what depends on it. */
class ReplicaChangeDispatcher(
    private val jobs: JobTable,
    private val partitions: Map<String, Partition>,
    private val machines: RegisteredMachines,
    private val ownership: PartitionLeadership,
    private val catalog: MachineTypeCatalog,
    private val allotments: QuotaShares,
    private val views: Map<String, PartitionView>,
) {
    /** [entry] is null for a removed key. */
    fun changed(key: String, entry: ReplicaEntry?) {
        when {
            key.startsWith(StoreKeys.JOBS) -> updateJobs(jobs.applyJobChange(key, entry))

            key.startsWith(StoreKeys.DEPENDENCIES) -> updateJobs(jobs.applyDependencySegment(key, entry))

            key.startsWith(StoreKeys.COMPLETIONS) -> updateCompletions(jobs.applyCompletionSegment(key, entry))

            key.startsWith(
                StoreKeys.MACHINES,
            ) -> machinesChanged(key.removePrefix(StoreKeys.MACHINES).substringBefore('/'))

            key.startsWith(StoreKeys.PARTITIONS) ->
                ownership.leaderRecordChanged(key.removePrefix(StoreKeys.PARTITIONS), entry?.version)

            key.startsWith(StoreKeys.TAKEOVERS) ->
                ownership.takeoverMarkers.changed(key.removePrefix(StoreKeys.TAKEOVERS), present = entry != null)

            key == StoreKeys.MACHINE_TYPES -> typesChanged(entry)

            key.startsWith(StoreKeys.QUOTA_SHARES) -> allotments.changed(key.removePrefix(StoreKeys.QUOTA_SHARES))

            key.startsWith(StoreKeys.PARTITION_LOADS) -> meanChanged(key.removePrefix(StoreKeys.PARTITION_LOADS), entry)
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

    private fun machinesChanged(zone: String) {
        machines.changed(zone)
        partitions[zone]?.fleet?.updateRegistered(machines.of(zone).keys)
    }

    private fun typesChanged(entry: ReplicaEntry?) {
        if (entry != null) catalog.remembered(decodeRecord(MachineTypes.serializer(), entry.value).types)
    }

    private fun meanChanged(zone: String, entry: ReplicaEntry?) {
        val view = views[zone] ?: return
        view.update(entry?.let { decodeRecord(PartitionLoadRecord.serializer(), it.value) } ?: NO_LOAD)
    }

    private companion object {
        /** What a partition counts as whose leader has published nothing. */
        val NO_LOAD = PartitionLoadRecord(0.0)
    }
}
