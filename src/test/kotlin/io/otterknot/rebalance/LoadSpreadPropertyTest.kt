package io.otterknot.rebalance

import io.otterknot.config.LoadSpreadSettings
import io.otterknot.scheduling.Resources
import io.otterknot.testing.smallJob
import io.otterknot.wire.Priority
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import kotlin.math.ceil
import kotlin.random.Random

/** Plans for random snapshots move only work that may be moved. Jqwik draws the seeds and stores failing ones. */
class LoadSpreadPropertyTest {
    @Property(tries = 600)
    fun `plans are deterministic and stop only stoppable tasks within all limits`(
        @ForAll seed: Long,
        @ForAll @IntRange(min = 0, max = 30) machines: Int,
        @ForAll @IntRange(min = 0, max = 12) jobs: Int,
    ) {
        val settings = LoadSpreadSettings()
        val snapshot = randomSnapshot(Random(seed), machines, jobs)
        val plan = MovePlanner(settings).plan(snapshot)
        assertEquals(plan.moves, MovePlanner(settings).plan(snapshot).moves, "two plans of the same snapshot differ")
        val tasks = snapshot.machines.flatMap { it.tasks }.associateBy { it.attempt }
        val stops = plan.moves.filterIsInstance<Move.Stop>()
        assertEquals(stops.size, stops.map { it.attempt }.distinct().size, "a task is stopped more than once")
        for (stop in stops) {
            val task = tasks.getValue(stop.attempt)
            assertTrue(!task.isExemptFromStop && !task.isCoolingDown && task.remainingS >= settings.leastRemainingS)
            if (stop.beneficiary != null) checkGuaranteeStop(task, stop, snapshot)
        }
        checkBounds(stops, snapshot, settings)
        plan.moves.filterIsInstance<Move.Reassignment>().forEach { checkReassignment(it, snapshot) }
    }

    private fun checkGuaranteeStop(task: RunningTask, stop: Move.Stop, snapshot: PlannerSnapshot) {
        val beneficiary = snapshot.waiting.single { it.spec.id == stop.beneficiary }
        assertTrue(beneficiary.isWithinGuarantee && beneficiary.team != task.team && !task.isWithinGuarantee)
    }

    private fun checkBounds(stops: List<Move.Stop>, snapshot: PlannerSnapshot, settings: LoadSpreadSettings) {
        val maxStops = maxOf(1, ceil(snapshot.running.total * settings.partitionStopShare).toInt())
        // Below the limit, all tasks that must be stopped for one waiting task may be stopped together.
        val largestGroup = stops.groupBy { it.beneficiary to it.machine }.values.maxOfOrNull { it.size } ?: 0
        assertTrue(stops.size < maxStops + maxOf(1, largestGroup), "${stops.size} stops, limit $maxStops")
        assertTrue(stops.sumOf { it.lostCoreS } <= snapshot.lostWorkBudgetCoreS + 1e-6, "lost work exceeds the budget")
        for ((team, ofTeam) in stops.filter { it.beneficiary != null }.groupBy { it.team }) {
            val excess = snapshot.cluster.excessCores(team, snapshot.zone)
            assertTrue(ofTeam.sumOf { it.cores } <= excess + 1e-6, "stopped cores exceed the excess")
        }
    }

    private fun checkReassignment(move: Move.Reassignment, snapshot: PlannerSnapshot) {
        val job = snapshot.waiting.single { it.spec.id == move.job }
        assertTrue(move.target != snapshot.zone && job.spec.zone == null && !snapshot.open.reassignmentInProgress)
        assertTrue(move.cores <= job.waitingCores + 1e-6, "moved cores exceed the waiting cores")
        if (job.spec.sameZone) assertTrue(job.isEntirelyPending && move.cores == job.waitingCores, "sameZone job split")
    }

    @Property(tries = 300)
    fun `shares do not exceed the cluster or the team demand`(@ForAll seed: Long, @ForAll @IntRange(max = 9) n: Int) {
        val random = Random(seed)
        val teams = List(n) {
            TeamDemand("t$it", random.nextDouble() * 2, random.nextDouble(), 0.1 + random.nextDouble() * 5)
        }
        val shares = FairShares.of(teams)
        assertTrue(shares.values.sum() <= 1.0 + 1e-6)
        teams.forEach { assertTrue(shares.getValue(it.team) <= it.demand + 1e-6) }
        // All capacity is allocated if a team has unsatisfied demand.
        val hasUnsatisfiedTeam = teams.any { it.demand > shares.getValue(it.team) + 1e-6 }
        if (hasUnsatisfiedTeam) assertEquals(1.0, shares.values.sum(), 1e-6)
    }

    private fun randomSnapshot(random: Random, machineCount: Int, jobCount: Int): PlannerSnapshot {
        val teams = listOf("red", "blue", "green")
        val machines = List(machineCount) { machine(random, it, teams) }
        val running = machines.flatMap { it.tasks }
        val partitions = listOf("a", "b", "c").associateWith { zone -> partition(random, zone, teams, running) }
        val entitlements = teams.associateWith { TeamEntitlement(random.nextInt(100).toDouble(), 0.0, 1.0) }
        return PlannerSnapshot(
            zone = "a",
            cluster = ClusterPressure(partitions, entitlements),
            waiting = List(jobCount) { job(random, it, teams) },
            machines = machines,
            sampledShare = 0.1 + random.nextDouble() * 0.9,
            running = RunningTaskCounts(
                total = running.size,
                byTeam = running.groupingBy { it.team }.eachCount(),
                byJob = running.groupingBy { it.spec.id }.eachCount(),
            ),
            open = OpenMoves(reassignmentInProgress = random.nextInt(4) == 0),
            targets = { partitions.keys.toList() },
            lostWorkBudgetCoreS = random.nextDouble() * 200,
        )
    }

    private fun partition(
        random: Random,
        zone: String,
        teams: List<String>,
        running: List<RunningTask>,
    ): PartitionPressure {
        val pressures = teams.associateWith { team ->
            val isHere = zone == "a"
            val usedHere = running.filter { it.team == team }.sumOf { it.spec.cores }
            val used = if (isHere) usedHere else random.nextDouble() * 100
            TeamPressure(Resources(cores = used), random.nextDouble() * 200)
        }
        val images = setOf("i-0", "i-1").filter { random.nextBoolean() }.toSet()
        val capacity = Resources(200.0, 2_000.0, 0.0)
        val mean = random.nextDouble() * 3
        return PartitionPressure(
            zone, capacity, 200.0, mean, mean, 5 + random.nextDouble() * 60, 1.0, images,
            pressures.takeIf { zone == "a" || random.nextInt(4) > 0 },
        )
    }

    private fun machine(random: Random, number: Int, teams: List<String>) = MachineSnapshot(
        id = "m-$number",
        type = "big",
        spot = random.nextBoolean(),
        free = Resources(random.nextInt(8).toDouble(), 64.0, 0.0),
        fetchGbPerS = 1.0,
        hasImage = { it == "i-0" },
        tasks = List(random.nextInt(4)) { task(random, number * 10 + it, teams) },
        draining = random.nextInt(6) == 0,
        slowness = 1 + random.nextDouble() * 2,
    )

    private fun task(random: Random, id: Int, teams: List<String>) = RunningTask(
        spec = spec(random, 100 + random.nextInt(20), teams),
        task = id,
        attempt = id.toLong(),
        isWithinGuarantee = random.nextInt(4) == 0,
        elapsedS = random.nextDouble() * 20,
        remainingS = random.nextDouble() * 40,
        isExemptFromStop = random.nextInt(5) == 0,
        isCoolingDown = random.nextInt(5) == 0,
    )

    private fun job(random: Random, number: Int, teams: List<String>): WaitingJob {
        val tasks = 1 + random.nextInt(100)
        return WaitingJob(
            spec(random, number, teams),
            tasks,
            random.nextInt(tasks + 1),
            random.nextBoolean(),
            random.nextDouble() * 90,
            random.nextBoolean(),
            random.nextDouble().takeIf { it < 0.3 }?.let { it * 200 },
        )
    }

    private fun spec(random: Random, number: Int, teams: List<String>) = smallJob("j-%06d".format(number)).copy(
        team = teams.random(random),
        priority = Priority.entries.random(random),
        cores = 1.0 + random.nextInt(4),
        image = "i-${random.nextInt(3)}",
        imageGb = random.nextDouble() * 5,
        zone = "a".takeIf { random.nextInt(5) == 0 },
        sameZone = random.nextInt(5) == 0,
        spot = random.nextBoolean(),
        checkpointS = if (random.nextBoolean()) 5.0 else 0.0,
    )
}
