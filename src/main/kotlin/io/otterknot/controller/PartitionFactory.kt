package io.otterknot.controller

import io.otterknot.autoscaling.MachineTypeCatalog
import io.otterknot.config.SiteSettings
import io.otterknot.config.TeamSettings
import io.otterknot.leadership.LeadershipAcquisition
import io.otterknot.partition.LeaderEvidence
import io.otterknot.partition.LeadershipConfirmation
import io.otterknot.partition.LeadershipTerm
import io.otterknot.partition.LeaseTimings
import io.otterknot.partition.Partition
import io.otterknot.partition.PartitionMonitoring
import io.otterknot.partition.SchedulingInputs
import io.otterknot.partition.TeamQuota
import io.otterknot.quota.QuotaShares
import io.otterknot.records.QuotaAmount
import io.otterknot.scheduling.ServiceLevelObjectives
import kotlin.random.Random

/** Builds the state of a partition from what the replica shows at its activation. */
class PartitionFactory(
    private val settings: SiteSettings,
    private val catalog: MachineTypeCatalog,
    private val quotaShares: QuotaShares,
    private val objectives: ServiceLevelObjectives,
    private val random: Random,
    private val nowMs: () -> Long,
    private val wallMs: () -> Long,
) {
    /**
     * Creates the partition of the leadership [acquired]. An earlier leader may still act until [priorLeaderUntilMs],
     * by the monotonic clock. [registeredMachines] contains the types of the machines that may hold tasks, by machine
     * name.
     */
    fun create(
        acquired: LeadershipAcquisition,
        priorLeaderUntilMs: Long,
        registeredMachines: Map<String, String>,
        confirmation: LeadershipConfirmation,
        monitoring: PartitionMonitoring,
    ): Partition = Partition(
        term = LeadershipTerm(acquired.zone, acquired.fencingToken, acquiredMs = nowMs(), priorLeaderUntilMs),
        evidence = LeaderEvidence(LeaseTimings(settings.workers.leaseMs), confirmation),
        scheduling = SchedulingInputs(objectives, random, wallTimeOf = { timeMs -> timeMs + wallClockOffsetMs() }),
        machineTypes = catalog::type,
        teamQuotas = settings.teams.map { teamQuota(it, acquired.zone) },
        registeredMachines = registeredMachines,
        monitoring = monitoring,
    )

    /** Returns the lead of the wall clock over the monotonic clock; not cached, since the wall clock may be set. */
    private fun wallClockOffsetMs(): Long = wallMs() - nowMs()

    private fun teamQuota(team: TeamSettings, zone: String) = TeamQuota(
        team.name,
        weight = if (team.cpus > 0) team.cpus else WEIGHT_WITHOUT_GUARANTEE,
        quotaShares.of(team.name).byZone[zone] ?: QuotaAmount(),
    )

    private companion object {
        /** The fair-share weight, in guaranteed cores, of a team without guaranteed quota. */
        const val WEIGHT_WITHOUT_GUARANTEE = 1.0
    }
}
