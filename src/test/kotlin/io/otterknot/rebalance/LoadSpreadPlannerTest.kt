package io.otterknot.rebalance

import io.otterknot.config.LoadSpreadSettings
import io.otterknot.config.TeamSettings
import io.otterknot.records.QuotaAmount
import io.otterknot.scheduling.Resources
import io.otterknot.testing.smallJob
import io.otterknot.wire.JobSpec
import io.otterknot.wire.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource

/** Tests the load-spread planners and their cost functions without a controller. */
class LoadSpreadPlannerTest {
    @ParameterizedTest
    @CsvSource(
        // Demand, guarantee and weight of each of two teams; expected fair share of each.
        "1.0, 0.0, 1.0,  1.0, 0.0, 1.0,  0.5, 0.5",
        "1.0, 0.0, 3.0,  1.0, 0.0, 1.0,  0.75, 0.25",
        "0.2, 0.0, 1.0,  1.0, 0.0, 1.0,  0.2, 0.8",
        "1.0, 0.6, 1.0,  1.0, 0.0, 1.0,  0.8, 0.2",
        "0.1, 0.6, 1.0,  2.0, 0.3, 1.0,  0.1, 0.9",
        "2.0, 0.9, 1.0,  2.0, 0.9, 1.0,  0.5, 0.5",
        "0.0, 0.5, 1.0,  0.0, 0.5, 1.0,  0.0, 0.0",
    )
    @Suppress("LongParameterList") // one parameter for each column of the table
    fun `guarantees are served first and the remaining capacity is divided by weight among unsatisfied teams`(
        demand: Double,
        guaranteed: Double,
        weight: Double,
        otherDemand: Double,
        otherGuaranteed: Double,
        otherWeight: Double,
        share: Double,
        otherShare: Double,
    ) {
        val teams = listOf(
            TeamDemand("one", demand, guaranteed, weight),
            TeamDemand("other", otherDemand, otherGuaranteed, otherWeight),
        )
        val shares = FairShares.of(teams)
        assertEquals(share, shares.getValue("one"), 1e-6)
        assertEquals(otherShare, shares.getValue("other"), 1e-6)
    }

    @Test
    fun `a job is within the guarantee if it fits together with all more urgent or earlier jobs of its team`() {
        val coverage = QuotaCoverage(listOf(TeamSettings("red", cpus = 10.0), TeamSettings("blue")))
        fun job(
            id: String,
            team: String,
            at: Long,
            cores: Double,
            gpus: Double = 0.0,
            priority: Priority = Priority.NORMAL,
        ) = UnfinishedJob(id, team, priority, at, QuotaAmount(cores, gpus))
        val jobs = listOf(
            job("late", "red", 30, 1.0),
            job("first", "red", 10, 6.0),
            job("second", "red", 20, 4.0),
            job("none", "blue", 5, 1.0),
        )
        assertEquals(setOf("first", "second"), coverage.withinGuarantee(jobs))
        assertEquals(setOf("first"), coverage.withinGuarantee(jobs + job("early", "red", 15, 8.0)))
        val urgent = job("urgent", "red", 40, 5.0, priority = Priority.HIGH)
        assertEquals(
            setOf("urgent"),
            coverage.withinGuarantee(jobs + urgent),
            "the most urgent job uses the guarantee first",
        )
        assertEquals(emptySet<String>(), coverage.withinGuarantee(listOf(job("card", "red", 1, 1.0, gpus = 1.0))))
    }

    @ParameterizedTest
    @CsvSource(
        // Wait here and there; whether the image is present there; its size; concurrent fetches; elapsed time (-1: the
        // task does not run), checkpoint interval and save time; expected gain.
        "20, 5, true,  6, 1, -1, 0, 0,    13.0",
        "20, 5, false, 6, 1, -1, 0, 0,    7.0",
        "20, 5, false, 6, 3, -1, 0, 0,    -5.0",
        "20, 5, true,  6, 1, 10, 0, 0,    -2.0",
        "20, 5, true,  6, 1, 10, 5, 2,    10.0",
        "5, 5, true,   0, 1, -1, 0, 0,    -2.0",
    )
    @Suppress("LongParameterList") // one parameter for each column of the table
    fun `the gain of a move combines wait, image fetch and lost work in weighted seconds`(
        hereS: Double,
        thereS: Double,
        isPresent: Boolean,
        imageGb: Double,
        concurrentFetches: Int,
        elapsedS: Double,
        checkpointS: Double,
        saveS: Double,
        gainS: Double,
    ) {
        val stop = if (elapsedS < 0) null else StopCost(elapsedS, checkpointS, saveS)
        val here = PlaceCost(hereS, ImageCost(true, imageGb, 1.0))
        val there =
            PlaceCost(
                thereS,
                ImageCost(isPresent, imageGb, 1.0, concurrentFetches = concurrentFetches),
                moveS = 2.0,
                stop = stop,
            )
        assertEquals(gainS, LocalityCost.gain(here, there, CostWeights(fetch = 1.0, lostWork = 1.5)), 1e-6)
    }

    /** A plan for the overloaded partition a, with b as target: expected moves and first refusal reason, if any. */
    class PlanCase(
        val name: String,
        val snapshot: PlannerSnapshot,
        val moves: List<String>,
        val refused: RefusalReason?,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("plans")
    fun `a plan moves work with sufficient gain and reports why other work is refused`(case: PlanCase) {
        val plan = planner.plan(case.snapshot)
        assertEquals(case.moves, plan.moves.map(::describe))
        if (case.refused != null) assertEquals(case.refused, plan.refusals.first().reason)
    }

    @ParameterizedTest
    @CsvSource("0.05, 1000, 5", "0.5, 1000, 10", "0.5, 24, 1", "0.5, 0, 0")
    fun `stops are limited by shares of running tasks and the lost-work budget`(
        share: Double,
        budget: Double,
        stops: Int,
    ) {
        val settings =
            LoadSpreadSettings(anyPriority = true, partitionStopShare = share, teamStopShare = 0.1, jobStopShare = 1.0)
        val machines = (1..25).map { machine(it, redTasks(it)) }
        val waiting = listOf(jobWithinGuarantee(20))
        val plan = MovePlanner(settings).plan(snapshot(waiting, machines, lostWorkBudgetCoreS = budget, running = 100))
        assertEquals(stops, plan.moves.filterIsInstance<Move.Stop>().size)
    }

    private fun describe(move: Move) = when (move) {
        is Move.Reassignment -> "${move.job} ${Math.round(move.cores)} to ${move.target}: ${move.reason}"
        is Move.Stop -> "${move.job}/${move.task} on ${move.machine}: ${move.reason}"
    }

    companion object {
        private val settings =
            LoadSpreadSettings(anyPriority = true, jobStopShare = 1.0, teamStopShare = 1.0, partitionStopShare = 1.0)
        private val planner = MovePlanner(settings)
        private val smallSpec = smallJob("j-000001").copy(cores = 4.0, image = "i", imageGb = 2.0, spot = true)

        private fun waitingJob(
            spec: JobSpec = smallSpec,
            secondsSinceArrival: Double? = null,
            waitedS: Double = 5.0,
            tasks: Int = 80,
        ) = WaitingJob(
            spec,
            tasks,
            tasks,
            false,
            waitedS,
            isEntirelyPending = true,
            secondsSinceArrival = secondsSinceArrival,
        )

        fun jobWithinGuarantee(tasks: Int, waitedS: Double = 5.0, priority: Priority = Priority.NORMAL) = WaitingJob(
            smallSpec.copy(id = "j-000009", team = "blue", priority = priority),
            tasks,
            tasks,
            true,
            waitedS,
            true,
        )

        fun redTask(id: Int, elapsedS: Double = 4.0, remainingS: Double = 10.0, isWithinGuarantee: Boolean = false) =
            RunningTask(
                smallSpec.copy(id = "j-000002", priority = Priority.HIGH),
                id,
                id.toLong(),
                isWithinGuarantee,
                elapsedS,
                remainingS,
                isExemptFromStop = false,
                isCoolingDown = false,
            )

        fun redTasks(machine: Int) = List(4) { redTask(machine * 4 + it) }

        fun machine(id: Int, tasks: List<RunningTask>, draining: Boolean = false, slowness: Double = 1.0) =
            MachineSnapshot(
                "m-$id", "big", false, Resources(0.0, 64.0, 0.0), 1.0, { false }, tasks, draining, slowness,
            )

        private fun pressure(
            zone: String,
            mean: Double,
            images: Set<String>,
            runS: Double = 15.0,
            red: Double = 400.0,
            isPublished: Boolean = true,
        ): PartitionPressure {
            val teams = mapOf(
                "red" to TeamPressure(Resources(cores = red), waitingCores = 300.0),
                "blue" to TeamPressure(Resources(), 80.0),
            )
            val cores = Resources(400.0, 3_200.0, 0.0)
            return PartitionPressure(zone, cores, 400.0, mean, mean, runS, 1.0, images, teams.takeIf { isPublished })
        }

        fun snapshot(
            waiting: List<WaitingJob>,
            machines: List<MachineSnapshot> = emptyList(),
            here: Double = 1.8,
            there: Double = 0.5,
            images: Set<String> = setOf("i"),
            open: OpenMoves = OpenMoves(),
            lostWorkBudgetCoreS: Double = 1_000.0,
            running: Int = 100,
            targets: List<String> = listOf("a", "b"),
            redCores: Double = 400.0,
            runS: Double = 15.0,
            isPublished: Boolean = true,
        ): PlannerSnapshot {
            val partitions = mapOf(
                "a" to pressure("a", here, setOf("i"), runS, redCores),
                "b" to pressure("b", there, images, runS, red = 0.0, isPublished),
            )
            val teams = mapOf("red" to TeamEntitlement(100.0, 0.0, 100.0), "blue" to TeamEntitlement(100.0, 0.0, 100.0))
            return PlannerSnapshot(
                zone = "a",
                cluster = ClusterPressure(partitions, teams),
                waiting = waiting,
                machines = machines,
                sampledShare = 1.0,
                running = RunningTaskCounts(running, mapOf("red" to running), mapOf("j-000002" to running)),
                open = open,
                targets = { targets },
                lostWorkBudgetCoreS = lostWorkBudgetCoreS,
            )
        }

        private val FULL_MACHINES =
            listOf(machine(1, redTasks(1)), machine(2, redTasks(2).map { it.copy(elapsedS = 2.0) }))

        private val REASSIGNMENT_PLANS = listOf(
            PlanCase(
                "queue here, capacity in the target partition",
                snapshot(listOf(waitingJob())),
                listOf("j-000001 233 to b: SHORTER_WAIT"),
                null,
            ),
            PlanCase(
                "image missing in the target partition",
                snapshot(listOf(waitingJob()), images = emptySet()),
                listOf("j-000001 207 to b: SHORTER_WAIT"),
                null,
            ),
            PlanCase(
                "small difference of mean loads",
                snapshot(listOf(waitingJob()), here = 0.9, there = 0.7),
                emptyList(),
                RefusalReason.GAIN_TOO_SMALL,
            ),
            PlanCase(
                "small difference of mean loads, long wait",
                snapshot(listOf(waitingJob(waitedS = 50.0)), here = 0.9, there = 0.7),
                listOf("j-000001 13 to b: OVERDUE"),
                null,
            ),
            PlanCase(
                "job bound to its zone",
                snapshot(listOf(waitingJob(smallSpec.copy(zone = "a")))),
                emptyList(),
                RefusalReason.BOUND_TO_ZONE,
            ),
            PlanCase(
                "sameZone job, partly placed",
                snapshot(listOf(waitingJob(smallSpec.copy(sameZone = true)).copy(isEntirelyPending = false))),
                emptyList(),
                RefusalReason.PARTLY_PLACED,
            ),
            PlanCase(
                "sameZone job, moved entirely",
                snapshot(listOf(waitingJob(smallSpec.copy(sameZone = true)))),
                listOf("j-000001 320 to b: SHORTER_WAIT"),
                null,
            ),
            PlanCase(
                "sameZone job, too large",
                snapshot(listOf(waitingJob(smallSpec.copy(sameZone = true), tasks = 300))),
                emptyList(),
                RefusalReason.GAIN_TOO_SMALL,
            ),
            PlanCase(
                "job reassigned here within the return interval",
                snapshot(listOf(waitingJob(secondsSinceArrival = 10.0))),
                emptyList(),
                RefusalReason.JUST_ARRIVED,
            ),
            PlanCase(
                "job reassigned here longer ago than the return interval",
                snapshot(listOf(waitingJob(secondsSinceArrival = 40.0, tasks = 2))),
                listOf("j-000001 8 to b: SHORTER_WAIT"),
                null,
            ),
            PlanCase(
                "no other partition with a leader",
                snapshot(listOf(waitingJob()), targets = listOf("a")),
                emptyList(),
                RefusalReason.NO_TARGET,
            ),
            PlanCase(
                "reassignment in progress",
                snapshot(listOf(waitingJob()), open = OpenMoves(reassignmentInProgress = true)),
                emptyList(),
                null,
            ),
            PlanCase(
                "target leader publishes no pressure by team",
                snapshot(listOf(waitingJob()), isPublished = false),
                listOf("j-000001 233 to b: SHORTER_WAIT"),
                null,
            ),
        )

        private val GUARANTEE_PLANS = listOf(
            PlanCase(
                "guarantee, stops the task that loses the least work",
                snapshot(listOf(jobWithinGuarantee(1)), FULL_MACHINES, there = 1.8),
                listOf("j-000002/8 on m-2: GUARANTEE"),
                null,
            ),
            PlanCase(
                "guarantee, stop in progress",
                snapshot(
                    listOf(jobWithinGuarantee(1)),
                    FULL_MACHINES,
                    there = 1.8,
                    open = OpenMoves(stopsForJob = mapOf("j-000009" to 1)),
                ),
                emptyList(),
                null,
            ),
            PlanCase(
                "guarantee, wait too short",
                snapshot(listOf(jobWithinGuarantee(1, waitedS = 1.0)), FULL_MACHINES, there = 1.8),
                emptyList(),
                RefusalReason.WAIT_TOO_SHORT,
            ),
            PlanCase(
                "guarantee, completions free capacity soon",
                snapshot(
                    listOf(jobWithinGuarantee(1)),
                    FULL_MACHINES + machine(3, listOf(redTask(20, remainingS = 2.0))),
                    there = 1.8,
                ),
                emptyList(),
                RefusalReason.CAPACITY_EXPECTED_SOON,
            ),
            PlanCase(
                "guarantee, no team above its guarantee",
                snapshot(listOf(jobWithinGuarantee(1)), FULL_MACHINES, there = 1.8, redCores = 100.0),
                emptyList(),
                RefusalReason.NO_STOPPABLE_TASKS,
            ),
            PlanCase(
                "guarantee, all running tasks within a guarantee",
                snapshot(
                    listOf(jobWithinGuarantee(1)),
                    listOf(machine(1, listOf(redTask(1, isWithinGuarantee = true)))),
                    there = 1.8,
                ),
                emptyList(),
                RefusalReason.NO_STOPPABLE_TASKS,
            ),
            PlanCase(
                "guarantee, all running tasks complete soon",
                snapshot(
                    listOf(jobWithinGuarantee(1)),
                    listOf(machine(1, listOf(redTask(1, remainingS = 3.5)))),
                    there = 1.8,
                ),
                emptyList(),
                RefusalReason.NO_STOPPABLE_TASKS,
            ),
            PlanCase(
                "guarantee, all running tasks in cooldown",
                snapshot(
                    listOf(jobWithinGuarantee(1)),
                    listOf(machine(1, listOf(redTask(1).copy(isCoolingDown = true)))),
                    there = 1.8,
                ),
                emptyList(),
                RefusalReason.NO_STOPPABLE_TASKS,
            ),
        )

        private val DRAIN_PLANS = listOf(
            PlanCase(
                "slow draining machine, task stopped",
                snapshot(emptyList(), listOf(machine(1, listOf(redTask(1, remainingS = 20.0)), true, 3.0))),
                listOf("j-000002/1 on m-1: DRAIN"),
                null,
            ),
            PlanCase(
                "slow draining machine, gain too small",
                snapshot(emptyList(), listOf(machine(1, listOf(redTask(1, elapsedS = 18.0)), true, 2.0))),
                emptyList(),
                RefusalReason.GAIN_TOO_SMALL,
            ),
        )

        @JvmStatic
        fun plans(): List<PlanCase> = REASSIGNMENT_PLANS + GUARANTEE_PLANS + DRAIN_PLANS
    }
}
