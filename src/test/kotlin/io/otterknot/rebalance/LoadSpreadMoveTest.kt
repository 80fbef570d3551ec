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

/** Moves of running tasks, step by step on one owner's ledger. */
class LoadSpreadMoveTest {
    private val type = MachineType("big", 8.0, 0.0, 64.0, fetchGbPerS = 1.0)
    private val teams = listOf(TeamSettings("red", cpus = 8.0), TeamSettings("blue", cpus = 8.0))
    private val seqs = HashMap<String, Long>()
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

    private fun Partition.hear(
        machine: String,
        now: Long,
        vararg tasks: TaskStatus,
        noticeS: Double? = null,
    ): List<HeartbeatCommand> {
        val seq = seqs.merge(machine, 1, Long::plus)!!
        val report = Heartbeat(machine, "", "big", "a", false, 1, seq, fencingToken, noticeS, tasks.toList())
        return (applyHeartbeat(report, now) as HeartbeatDecision.Answer).commands
    }

    private fun HeartbeatCommand.shown(state: TaskState = TaskState.RUNNING, cause: ExitCause? = null) =
        TaskStatus(task, attempt, state, cause)

    /** Two machines full of red tasks that run. */
    private fun fill(checkpointS: Double = 0.0): Map<String, List<HeartbeatCommand>> {
        partition.sweep(1)
        partition.updateJob(job(1, 4, "red", checkpointS = checkpointS), inherited = false)
        val machines = listOf("m1", "m2")
        machines.forEach { partition.hear(it, 2) }
        partition.fleet.updateRegistered(machines.toSet())
        return machines.associateWith { machine ->
            val starts = partition.hear(machine, 10).filter { it.op == CommandOperation.START }
            partition.hear(machine, 1_000, *starts.map { it.shown() }.toTypedArray())
            starts
        }
    }

    /** The move of the first red task on m1. */
    private fun move(start: HeartbeatCommand): OpenMove {
        val attempt = partition.machine("m1")!!.attempts.get(start.attempt)
        val move = Move.Stop(
            "a", "red", "j-000001", MoveReason.GUARANTEE, 5.0, attempt.task, attempt.id, "m1", 4.0, 4.0, "j-000002",
        )
        return OpenMove(move, partition, attempt, 2_000).also { it.requestStop(2_000) }
    }

    @Test
    fun `a task is stopped, and work within the guarantee gets its room before more urgent work`() {
        val (first, second) = fill().getValue("m1")
        partition.updateJob(job(2, 1, "blue", Priority.BEST_EFFORT), inherited = false)
        partition.updateJob(job(3, 2, "red", Priority.PRODUCTION), inherited = false)
        partition.markCovered(1, beforeAll = true) { it.id == "j-000002" }
        val move = move(first)
        assertEquals(MoveState.STOPPING, move.state)
        val halts = partition.hear("m1", 3_000, first.shown(), second.shown())
        assertTrue(HeartbeatCommand.halt(first.task, first.attempt, 0.0) in halts)
        val next = partition.hear("m1", 4_000, first.shown(TaskState.EXITED, ExitCause.STOPPED), second.shown())
        assertEquals("j-000002/0", next.single { it.op == CommandOperation.START }.task)
        assertTrue(move.advance(4_000, isLeader = true))
        assertEquals(MoveState.STOPPED, move.state)
    }

    /** Whether work within a guarantee goes before more urgent work of others, as the operators choose. */
    @ParameterizedTest
    @CsvSource("true, j-000002/0", "false, j-000003/0")
    fun `more urgent work of others comes before or after work within a guarantee`(beforeAll: Boolean, first: String) {
        val (ends, stays) = fill().getValue("m1")
        partition.updateJob(job(2, 1, "blue", Priority.NORMAL), inherited = false)
        partition.updateJob(job(3, 1, "red", Priority.HIGH), inherited = false)
        partition.markCovered(1, beforeAll) { it.id == "j-000002" }
        val commands = partition.hear("m1", 4_000, ends.shown(TaskState.EXITED, ExitCause.DONE), stays.shown())
        assertEquals(first, commands.single { it.op == CommandOperation.START }.task)
    }

    @ParameterizedTest
    @CsvSource(
        // What the next heartbeat shows (nothing: the task is gone), and what becomes of the move.
        "EXITED, DONE, ABANDONED, COMPLETED_FIRST",
        "EXITED, STOPPED, PLACED,",
        "RUNNING, , STOPPING,",
        "EXITED, ERROR, STOPPED,",
        ", , PLACED,",
    )
    fun `whatever the machine says of the task decides`(
        state: TaskState?,
        cause: ExitCause?,
        ends: MoveState,
        outcome: MoveOutcome?,
    ) {
        val (first, second) = fill().getValue("m1")
        val move = move(first)
        partition.hear("m1", 3_000, first.shown(), second.shown())
        val shown = if (state == null) emptyArray() else arrayOf(first.shown(state, cause))
        partition.hear("m1", 4_000, *shown, second.shown())
        move.advance(4_000, isLeader = true)
        assertEquals(ends, move.state)
        assertEquals(outcome, move.outcome)
    }

    @Test
    fun `a completion that meets the stop wins, also if the machine shows it late`() {
        val (first, second) = fill().getValue("m1")
        val move = move(first)
        partition.hear("m1", 3_000, first.shown(), second.shown())
        val started = (4L..8L).flatMap {
            partition.hear("m1", it * 1_000, first.shown(TaskState.EXITED, ExitCause.DONE), second.shown())
        }
        assertTrue(started.none { it.op == CommandOperation.START && it.task == first.task }, "it is not started again")
        move.advance(9_000, isLeader = true)
        assertEquals(MoveOutcome.COMPLETED_FIRST, move.outcome)
    }

    @Test
    fun `a cancellation wins over the stop`() {
        val (first, second) = fill().getValue("m1")
        val move = move(first)
        partition.updateJob(
            job(1, 4, "red").also {
                it.applyRecord(JobRecord(terminalState = TerminalState.CANCELLED))
            },
            inherited = false,
        )
        move.advance(2_500, isLeader = true)
        assertEquals(MoveOutcome.JOB_FINISHED, move.outcome)
        val commands = partition.hear("m1", 3_000, first.shown(), second.shown())
        assertEquals(2, commands.count { it.op == CommandOperation.HALT })
    }

    @Test
    fun `a stop that is not answered ends with the lease, and the task is placed elsewhere only then`() {
        val starts = fill()
        val (first, _) = starts.getValue("m1")
        val other = starts.getValue("m2")
        val move = move(first)
        // m1 hangs; m2 completes its tasks and reports on.
        var restarted = 0L
        for (now in 3_000L..16_000L step 1_000) {
            partition.sweep(now)
            val shown = other.map { it.shown(TaskState.EXITED, ExitCause.DONE) }.toTypedArray()
            val begun = partition.hear("m2", now, *shown).filter {
                it.op == CommandOperation.START &&
                    it.task == first.task
            }
            if (begun.isNotEmpty() && restarted == 0L) restarted = now
            move.advance(now, isLeader = true)
            if (now < 11_000) assertEquals(MoveState.STOPPING, move.state, "at $now")
        }
        assertTrue(restarted > 11_000, "started at $restarted")
        assertEquals(MoveState.PLACED, move.state)
        assertEquals(MoveOutcome.MACHINE_LOST, move.outcome)
    }

    @Test
    fun `an owner that loses the partition follows nothing`() {
        val move = move(fill().getValue("m1").first())
        move.advance(3_000, isLeader = false)
        assertEquals(MoveOutcome.LEADERSHIP_LOST, move.outcome)
    }

    /** A second stop would end the saving at once, and the progress with it. */
    @Test
    fun `a task that saves is not told to stop again, unless it saves for far too long`() {
        val (first, second) = fill(checkpointS = 5.0).getValue("m1")
        move(first)
        fun halts(now: Long, state: TaskState) = partition.hear("m1", now, first.shown(state), second.shown())
            .filter { it.op == CommandOperation.HALT }
            .map { it.graceS }
        assertEquals(listOf(4.0), halts(3_000, TaskState.RUNNING))
        assertEquals(listOf(4.0), halts(4_000, TaskState.RUNNING), "the answer before was lost")
        for (now in 5_000L..17_000L step 1_000) {
            assertEquals(
                emptyList<Double>(),
                halts(now, TaskState.SAVING),
                "at $now",
            )
        }
        assertEquals(listOf(0.0), halts(19_000, TaskState.SAVING))
    }

    @Test
    fun `a spot notice does not meet a second stop, and a late report takes nothing back`() {
        val (first, second) = fill().getValue("m1")
        val move = move(first)
        partition.hear("m1", 3_000, first.shown(), second.shown(), noticeS = 5.0)
        val after = partition.hear(
            "m1",
            4_000,
            first.shown(TaskState.EXITED, ExitCause.STOPPED),
            second.shown(),
            noticeS = 4.0,
        )
        move.advance(4_000, isLeader = true)
        assertEquals(MoveState.STOPPED, move.state)
        assertTrue(after.none { it.op == CommandOperation.START }, "a machine under a notice takes nothing")
        val late = Heartbeat("m1", "", "big", "a", false, 1, 2, 7, null, listOf(first.shown()))
        assertEquals(HeartbeatDecision.Stale, partition.applyHeartbeat(late, 4_500))
        assertTrue(!partition.machine("m1")!!.attempts.containsKey(first.attempt))
    }

    @Test
    fun `more urgent work that is not within a guarantee does not stop work that is`() {
        fill()
        partition.markCovered(1, beforeAll = true) { it.id == "j-000001" }
        partition.updateJob(job(4, 1, "blue", Priority.PRODUCTION), inherited = false)
        for (now in 4_000L..9_000L step 250) partition.sweep(now)
        assertTrue(partition.machines.flatMap { it.attempts.values }.none { it.stopping })
    }

    /** By counting: what a plan costs grows with what waits and is bounded in machines; a report costs the same. */
    @ParameterizedTest
    @ValueSource(ints = [500, 1_500, 4_000, 6_000])
    fun `pressure and plans cost no more for each machine where there are more`(machines: Int) {
        val partition = newPartition()
        partition.sweep(1)
        val names = List(machines) { "m-$it" }
        names.forEach { partition.hear(it, 2) }
        partition.fleet.updateRegistered(names.toSet())
        partition.updateJob(job(1, machines * 2, "red"), inherited = false)
        partition.waitingWork.follow(partition.jobs)
        val starts = names.associateWith { name -> partition.hear(name, 10).filter { it.op == CommandOperation.START } }
        partition.updateJob(job(2, 10, "blue"), inherited = false)
        partition.markCovered(1, beforeAll = true) { it.id == "j-000002" }
        val settings = LoadSpreadSettings(LoadSpreadMode.ACT, patienceS = 0.0)
        val pressureTracker = PressureTracker(teams, mapOf("a" to partition), mapOf("a" to PartitionView("a")))
        val builder = SnapshotBuilder(settings, { listOf("a") }, Random(1))
        val cluster = pressureTracker.clusterPressure()
        val recounts = partition.waitingWork.recounts
        names.take(50).forEach { partition.hear(it, 1_000, *starts.getValue(it).map { s -> s.shown() }.toTypedArray()) }
        pressureTracker.clusterPressure()
        assertEquals(0, partition.waitingWork.recounts - recounts, "reports that change nothing are not counted")
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
