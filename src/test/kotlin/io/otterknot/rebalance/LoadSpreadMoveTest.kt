package io.otterknot.rebalance

import io.otterknot.config.LoadSpreadMode
import io.otterknot.config.LoadSpreadSettings
import io.otterknot.config.TeamSettings
import io.otterknot.jobs.Job
import io.otterknot.partition.HeartbeatDecision
import io.otterknot.partition.Partition
import io.otterknot.records.JobRecord
import io.otterknot.records.TaskSpan
import io.otterknot.records.TerminalState
import io.otterknot.scheduling.PartitionView
import io.otterknot.testing.applyRecord
import io.otterknot.testing.smallJob
import io.otterknot.testing.testPartition
import io.otterknot.testing.unlimitedTeam
import io.otterknot.wire.CommandOperation
import io.otterknot.wire.ExitCause
import io.otterknot.wire.Heartbeat
import io.otterknot.wire.HeartbeatCommand
import io.otterknot.wire.MachineType
import io.otterknot.wire.Priority
import io.otterknot.wire.TaskState
import io.otterknot.wire.TaskStatus
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

/** Tests moves of running tasks step by step on the partition of one leader. */
class LoadSpreadMoveTest {
    private val type = MachineType("big", 8.0, 0.0, 64.0, fetchGbPerS = 1.0)
    private val teams = listOf(TeamSettings("red", cpus = 8.0), TeamSettings("blue", cpus = 8.0))
    private val sequenceNumbers = HashMap<String, Long>()
    private val partition = newPartition()

    private fun newPartition() = testPartition(teams.map { unlimitedTeam(it.name, weight = it.cpus) }) { type }

    private fun job(id: Int, tasks: Int, team: String, priority: Priority = Priority.HIGH, checkpointS: Double = 0.0) =
        Job("j-%06d".format(id)).also {
            val spec = smallJob(it.id, tasks).copy(
                team = team, priority = priority, cores = 4.0, memoryGb = 1.0, image = "i", imageGb = 1.0, spot = true,
                estimateS = 30.0, checkpointS = checkpointS, saveS = if (checkpointS > 0) 4.0 else 0.0,
            )
            it.applyRecord(JobRecord(spec, listOf(TaskSpan("a", 0, tasks))))
        }

    private fun Partition.heartbeat(
        machine: String,
        now: Long,
        vararg tasks: TaskStatus,
        noticeS: Double? = null,
    ): List<HeartbeatCommand> {
        val seq = sequenceNumbers.merge(machine, 1, Long::plus)!!
        val heartbeat = Heartbeat(machine, "", "big", "a", false, 1, seq, fencingToken, noticeS, tasks.toList())
        return (applyHeartbeat(heartbeat, now) as HeartbeatDecision.Answer).commands
    }

    private fun HeartbeatCommand.status(state: TaskState = TaskState.RUNNING, cause: ExitCause? = null) =
        TaskStatus(task, attempt, state, cause)

    /** Fills two machines with running tasks of team red; returns their start commands by machine. */
    private fun fillMachines(checkpointS: Double = 0.0): Map<String, List<HeartbeatCommand>> {
        partition.sweep(1)
        partition.updateJob(job(1, 4, "red", checkpointS = checkpointS), inherited = false)
        val machines = listOf("m1", "m2")
        machines.forEach { partition.heartbeat(it, 2) }
        partition.fleet.updateRegistered(machines.toSet())
        return machines.associateWith { machine ->
            val starts = partition.heartbeat(machine, 10).filter { it.op == CommandOperation.START }
            partition.heartbeat(machine, 1_000, *starts.map { it.status() }.toTypedArray())
            starts
        }
    }

    /** Starts the move of the task of [start], which runs on m1. */
    private fun startMove(start: HeartbeatCommand): OpenMove {
        val attempt = partition.machine("m1")!!.attempts.get(start.attempt)
        val move = Move.Stop(
            "a", "red", "j-000001", MoveReason.GUARANTEE, 5.0, attempt.task, attempt.id, "m1", 4.0, 4.0, "j-000002",
        )
        return OpenMove(move, partition, attempt, 2_000).also { it.requestStop(2_000) }
    }

    @Test
    fun `a task is stopped and work within the guarantee is placed before more urgent work`() {
        val (first, second) = fillMachines().getValue("m1")
        partition.updateJob(job(2, 1, "blue", Priority.BEST_EFFORT), inherited = false)
        partition.updateJob(job(3, 2, "red", Priority.PRODUCTION), inherited = false)
        partition.markWithinGuarantee(1, beforeAll = true) { it.id == "j-000002" }
        val move = startMove(first)
        assertEquals(MoveState.STOPPING, move.state)
        val commands = partition.heartbeat("m1", 3_000, first.status(), second.status())
        assertTrue(HeartbeatCommand.halt(first.task, first.attempt, 0.0) in commands)
        val next = partition.heartbeat("m1", 4_000, first.status(TaskState.EXITED, ExitCause.STOPPED), second.status())
        assertEquals("j-000002/0", next.single { it.op == CommandOperation.START }.task)
        assertTrue(move.advance(4_000, isLeader = true))
        assertEquals(MoveState.STOPPED, move.state)
    }

    /** Operators choose whether work within a guarantee is placed before more urgent work of other teams. */
    @ParameterizedTest
    @CsvSource("true, j-000002/0", "false, j-000003/0")
    fun `the setting decides whether work within a guarantee precedes more urgent work`(
        beforeAll: Boolean,
        expectedTask: String,
    ) {
        val (completing, remaining) = fillMachines().getValue("m1")
        partition.updateJob(job(2, 1, "blue", Priority.NORMAL), inherited = false)
        partition.updateJob(job(3, 1, "red", Priority.HIGH), inherited = false)
        partition.markWithinGuarantee(1, beforeAll) { it.id == "j-000002" }
        val commands = partition.heartbeat(
            "m1",
            4_000,
            completing.status(TaskState.EXITED, ExitCause.DONE),
            remaining.status(),
        )
        assertEquals(expectedTask, commands.single { it.op == CommandOperation.START }.task)
    }

    @ParameterizedTest
    @CsvSource(
        // State and exit cause in the next heartbeat (empty: task not listed), expected state and outcome of the move.
        "EXITED, DONE, ABANDONED, COMPLETED_FIRST",
        "EXITED, STOPPED, PLACED,",
        "RUNNING, , STOPPING,",
        "EXITED, ERROR, STOPPED,",
        ", , PLACED,",
    )
    fun `the task status in the heartbeat determines the state of the move`(
        state: TaskState?,
        cause: ExitCause?,
        expectedState: MoveState,
        expectedOutcome: MoveOutcome?,
    ) {
        val (first, second) = fillMachines().getValue("m1")
        val move = startMove(first)
        partition.heartbeat("m1", 3_000, first.status(), second.status())
        val statuses = if (state == null) emptyArray() else arrayOf(first.status(state, cause))
        partition.heartbeat("m1", 4_000, *statuses, second.status())
        move.advance(4_000, isLeader = true)
        assertEquals(expectedState, move.state)
        assertEquals(expectedOutcome, move.outcome)
    }

    @Test
    fun `a task that completes while its stop is in progress is not restarted, even if reported late`() {
        val (first, second) = fillMachines().getValue("m1")
        val move = startMove(first)
        partition.heartbeat("m1", 3_000, first.status(), second.status())
        val started = (4L..8L).flatMap {
            partition.heartbeat("m1", it * 1_000, first.status(TaskState.EXITED, ExitCause.DONE), second.status())
        }
        assertTrue(started.none { it.op == CommandOperation.START && it.task == first.task }, "the task was restarted")
        move.advance(9_000, isLeader = true)
        assertEquals(MoveOutcome.COMPLETED_FIRST, move.outcome)
    }

    @Test
    fun `a cancellation abandons the move and halts the tasks of the job`() {
        val (first, second) = fillMachines().getValue("m1")
        val move = startMove(first)
        partition.updateJob(
            job(1, 4, "red").also {
                it.applyRecord(JobRecord(terminalState = TerminalState.CANCELLED))
            },
            inherited = false,
        )
        move.advance(2_500, isLeader = true)
        assertEquals(MoveOutcome.JOB_FINISHED, move.outcome)
        val commands = partition.heartbeat("m1", 3_000, first.status(), second.status())
        assertEquals(2, commands.count { it.op == CommandOperation.HALT })
    }

    @Test
    fun `a stop without response ends when the lease expires, and only then is the task placed again`() {
        val starts = fillMachines()
        val (first, _) = starts.getValue("m1")
        val other = starts.getValue("m2")
        val move = startMove(first)
        // m1 is unresponsive; m2 completes its tasks and continues to send heartbeats.
        var restarted = 0L
        for (now in 3_000L..16_000L step 1_000) {
            partition.sweep(now)
            val statuses = other.map { it.status(TaskState.EXITED, ExitCause.DONE) }.toTypedArray()
            val startCommands = partition.heartbeat("m2", now, *statuses).filter {
                it.op == CommandOperation.START &&
                    it.task == first.task
            }
            if (startCommands.isNotEmpty() && restarted == 0L) restarted = now
            move.advance(now, isLeader = true)
            if (now < 11_000) assertEquals(MoveState.STOPPING, move.state, "at $now")
        }
        assertTrue(restarted > 11_000, "started at $restarted")
        assertEquals(MoveState.PLACED, move.state)
        assertEquals(MoveOutcome.MACHINE_LOST, move.outcome)
    }

    @Test
    fun `a move is abandoned when the leader loses the partition`() {
        val move = startMove(fillMachines().getValue("m1").first())
        move.advance(3_000, isLeader = false)
        assertEquals(MoveOutcome.LEADERSHIP_LOST, move.outcome)
    }

    /** A second stop would end the save immediately and lose the progress. */
    @Test
    fun `a task that is saving gets no second stop command unless the save takes far too long`() {
        val (first, second) = fillMachines(checkpointS = 5.0).getValue("m1")
        startMove(first)
        fun haltGraces(now: Long, state: TaskState) =
            partition.heartbeat("m1", now, first.status(state), second.status())
                .filter { it.op == CommandOperation.HALT }
                .map { it.graceS }
        assertEquals(listOf(4.0), haltGraces(3_000, TaskState.RUNNING))
        assertEquals(listOf(4.0), haltGraces(4_000, TaskState.RUNNING), "the previous response was lost")
        for (now in 5_000L..17_000L step 1_000) {
            assertEquals(
                emptyList<Double>(),
                haltGraces(now, TaskState.SAVING),
                "at $now",
            )
        }
        assertEquals(listOf(0.0), haltGraces(19_000, TaskState.SAVING))
    }

    @Test
    fun `a machine with a spot notice gets no new task after a stop, and a late heartbeat is stale`() {
        val (first, second) = fillMachines().getValue("m1")
        val move = startMove(first)
        partition.heartbeat("m1", 3_000, first.status(), second.status(), noticeS = 5.0)
        val after = partition.heartbeat(
            "m1",
            4_000,
            first.status(TaskState.EXITED, ExitCause.STOPPED),
            second.status(),
            noticeS = 4.0,
        )
        move.advance(4_000, isLeader = true)
        assertEquals(MoveState.STOPPED, move.state)
        assertTrue(after.none { it.op == CommandOperation.START }, "a machine with a spot notice got a task")
        val late = Heartbeat("m1", "", "big", "a", false, 1, 2, 7, null, listOf(first.status()))
        assertEquals(HeartbeatDecision.Stale, partition.applyHeartbeat(late, 4_500))
        assertTrue(!partition.machine("m1")!!.attempts.containsKey(first.attempt))
    }

    @Test
    fun `more urgent work outside a guarantee does not preempt work within a guarantee`() {
        fillMachines()
        partition.markWithinGuarantee(1, beforeAll = true) { it.id == "j-000001" }
        partition.updateJob(job(4, 1, "blue", Priority.PRODUCTION), inherited = false)
        for (now in 4_000L..9_000L step 250) partition.sweep(now)
        assertTrue(partition.machines.flatMap { it.attempts.values }.none { it.stopping })
    }

    /**
     * Counts examined items: the cost of a plan grows with the waiting work and is bounded in the number of machines.
     * A heartbeat costs the same at any number of machines.
     */
    @ParameterizedTest
    @ValueSource(ints = [500, 1_500, 4_000, 6_000])
    fun `the cost of pressure and plans does not grow with the number of machines`(machines: Int) {
        val partition = newPartition()
        partition.sweep(1)
        val names = List(machines) { "m-$it" }
        names.forEach { partition.heartbeat(it, 2) }
        partition.fleet.updateRegistered(names.toSet())
        partition.updateJob(job(1, machines * 2, "red"), inherited = false)
        partition.waitingWork.follow(partition.jobs)
        val starts = names.associateWith { name ->
            partition.heartbeat(name, 10).filter { it.op == CommandOperation.START }
        }
        partition.updateJob(job(2, 10, "blue"), inherited = false)
        partition.markWithinGuarantee(1, beforeAll = true) { it.id == "j-000002" }
        val settings = LoadSpreadSettings(LoadSpreadMode.ACT, patienceS = 0.0)
        val pressureTracker = PressureTracker(teams, mapOf("a" to partition), mapOf("a" to PartitionView("a")))
        val builder = SnapshotBuilder(settings, { listOf("a") }, Random(1))
        val cluster = pressureTracker.clusterPressure()
        val recounts = partition.waitingWork.recounts
        names.take(50).forEach {
            partition.heartbeat(it, 1_000, *starts.getValue(it).map { s -> s.status() }.toTypedArray())
        }
        pressureTracker.clusterPressure()
        assertEquals(0, partition.waitingWork.recounts - recounts, "heartbeats without changes caused recounts")
        val snapshot =
            builder.build(
                partition,
                cluster,
                MoveHistory(),
                OpenMoves(),
                LostWorkBudget(0).availableCoreS,
                2_000,
                10_000,
            )
        MovePlanner(settings).plan(snapshot)
        assertEquals(settings.sampledMachines, snapshot.machines.size)
        val bound = settings.sampledMachines * 4 + 10
        assertTrue(builder.examinedItems <= bound, "${builder.examinedItems} items examined")
    }
}
