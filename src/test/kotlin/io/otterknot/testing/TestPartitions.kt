package io.otterknot.testing

import io.otterknot.partition.LeaderEvidence
import io.otterknot.partition.LeadershipConfirmation
import io.otterknot.partition.LeadershipTerm
import io.otterknot.partition.LeaseTimings
import io.otterknot.partition.Partition
import io.otterknot.partition.PartitionMonitoring
import io.otterknot.partition.SchedulingInputs
import io.otterknot.partition.TeamQuota
import io.otterknot.records.QuotaAmount
import io.otterknot.scheduling.ServiceLevelObjectives
import io.otterknot.wire.MachineType
import org.junit.jupiter.api.fail
import kotlin.random.Random

/** A team whose quota is never reached. */
fun unlimitedTeam(name: String, weight: Double = 1.0) = TeamQuota(name, weight, QuotaAmount(1e9, 0.0))

/** A leadership that is confirmed at any time unless [confirmedMs] is set. */
class FakeConfirmation(override var confirmedMs: Long = Long.MAX_VALUE) : LeadershipConfirmation {
    var requests = 0
        private set

    override fun request() {
        requests++
    }
}

/**
 * A partition acquired at 0 ms, with worker leases of ten seconds and a wall clock that equals its monotonic clock.
 * [registeredMachines] maps machine ids to the names of their types.
 */
fun testPartition(
    teamQuotas: List<TeamQuota>,
    zone: String = "a",
    fencingToken: Long = 7,
    priorLeaderUntilMs: Long = 0,
    objectives: ServiceLevelObjectives = ServiceLevelObjectives(emptyMap()),
    registeredMachines: Map<String, String> = emptyMap(),
    confirmation: LeadershipConfirmation = FakeConfirmation(),
    machineTypes: (name: String) -> MachineType?,
) = Partition(
    LeadershipTerm(zone, fencingToken, acquiredMs = 0, priorLeaderUntilMs),
    LeaderEvidence(LeaseTimings(leaseMs = 10_000), confirmation),
    SchedulingInputs(objectives, Random(1), wallTimeOf = { it }),
    machineTypes,
    teamQuotas,
    registeredMachines,
    PartitionMonitoring(count = {}, invariants = { fail(it) }),
)
