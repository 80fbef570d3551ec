package io.otterknot.controller

import io.otterknot.autoscaling.MachineTypeCatalog
import io.otterknot.config.SiteSettings
import io.otterknot.config.TeamSettings
import io.otterknot.leadership.LeadershipAcquisition
import io.otterknot.partition.LeadershipTerm
import io.otterknot.partition.LeaseTimings
import io.otterknot.partition.Partition
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
     * [priorLeaderUntilMs]: until when, by the steady clock, an earlier leader may still act; [registeredMachines]: by
     * name, the types of the machines that may hold tasks.
     */
    fun create(
        acquired: LeadershipAcquisition,
        priorLeaderUntilMs: Long,
        registeredMachines: Map<String, String>,
    ): Partition = Partition(
        term = LeadershipTerm(acquired.zone, acquired.fencingToken, acquiredMs = nowMs(), priorLeaderUntilMs),
        leases = LeaseTimings(settings.workers.leaseMs),
        scheduling = SchedulingInputs(objectives, random, wallTimeOf = { steadyMs -> steadyMs + wallAheadMs() }),
        machineTypes = catalog::type,
        teamQuotas = settings.teams.map { teamQuota(it, acquired.zone) },
        registeredMachines = registeredMachines,
    )

    /** How far the time of day is ahead of the steady clock, by now: the time of day may be set. */
    private fun wallAheadMs(): Long = wallMs() - nowMs()

    private fun teamQuota(team: TeamSettings, zone: String) = TeamQuota(
        team.name,
        weight = if (team.cpus > 0) team.cpus else WEIGHT_WITHOUT_GUARANTEE,
        quotaShares.of(team.name).byZone[zone] ?: QuotaAmount(),
    )

    private companion object {
        /** The weight in fair shares, in guaranteed cores, of a team that has no guaranteed quota. */
        const val WEIGHT_WITHOUT_GUARANTEE = 1.0
    }
}
