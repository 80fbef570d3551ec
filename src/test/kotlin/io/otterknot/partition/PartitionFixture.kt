package io.otterknot.partition

import io.otterknot.jobs.Job
import io.otterknot.records.JobRecord
import io.otterknot.records.QuotaAmount
import io.otterknot.records.TaskSpan
import io.otterknot.testing.FakeConfirmation
import io.otterknot.testing.applyRecord
import io.otterknot.testing.testPartition
import io.otterknot.testing.unlimitedTeam
import io.otterknot.wire.CommandOperation
import io.otterknot.wire.ExitCause
import io.otterknot.wire.Heartbeat
import io.otterknot.wire.HeartbeatCommand
import io.otterknot.wire.JobSpec
import io.otterknot.wire.MachineType
import io.otterknot.wire.Priority
import io.otterknot.wire.TaskState
import io.otterknot.wire.TaskStatus

/** The fencing tokens of the leader in these tests and of the leader before it. */
internal const val TOKEN = 7L
internal const val PRIOR_TOKEN = 3L

/** A machine type that the partitions of these tests do not know. */
internal const val UNKNOWN_TYPE = "unknown type"

/** Creates partitions of machines with eight cores each, jobs, and heartbeats of the machines. */
abstract class PartitionFixture {
    private val machineType = MachineType("big", 8.0, 0.0, 64.0)
    private val lastSequences = HashMap<String, Long>()

    protected val confirmation = FakeConfirmation()

    /** How often a machine type was looked up. */
    protected var typeLookups = 0

    /** Creates a partition in which the quota share of team red is [quotaCores]. */
    protected fun partition(
        registered: List<String> = emptyList(),
        quotaCores: Double = 1e9,
        priorLeaderUntilMs: Long = 0,
    ) = testPartition(
        listOf(TeamQuota("red", 1.0, QuotaAmount(quotaCores, 0.0)), unlimitedTeam("blue")),
        fencingToken = TOKEN,
        priorLeaderUntilMs = priorLeaderUntilMs,
        registeredMachines = registered.associateWith { "big" },
        confirmation = confirmation,
    ) { name -> machineType.takeIf { name != UNKNOWN_TYPE }.also { typeLookups++ } }

    protected fun job(
        number: Int,
        tasks: Int,
        cores: Double = 2.0,
        priority: Priority = Priority.HIGH,
        team: String = "red",
        memoryGb: Double = 1.0,
    ): Job {
        val id = "j-%06d".format(number)
        val spec = JobSpec(id, "k", team, priority, tasks, cores, 0.0, memoryGb, "i", 1.0, spot = true, estimateS = 5.0)
        return Job(id).also { it.applyRecord(JobRecord(spec, listOf(TaskSpan("a", 0, tasks)))) }
    }

    protected fun Partition.heartbeat(
        machine: String,
        token: Long,
        now: Long,
        tasks: List<TaskStatus> = emptyList(),
        epoch: Long = 1,
        sequence: Long = nextSequence(machine),
        noticeS: Double? = null,
    ): HeartbeatDecision {
        val heartbeat = Heartbeat(machine, "", "big", "a", false, epoch, sequence, token, noticeS, tasks)
        return applyHeartbeat(heartbeat, now)
    }

    protected fun Partition.heartbeat(machine: String, token: Long, now: Long, task: TaskStatus): HeartbeatDecision =
        heartbeat(machine, token, now, listOf(task))

    private fun nextSequence(machine: String): Long = lastSequences.merge(machine, 1, Long::plus)!!

    /** The sequence number of the machine's last heartbeat. */
    protected fun lastSequence(machine: String): Long = lastSequences.getValue(machine)

    protected fun HeartbeatDecision.commands(): List<HeartbeatCommand> = (this as HeartbeatDecision.Answer).commands

    protected fun HeartbeatDecision.operations(): List<CommandOperation> = commands().map { it.op }

    protected fun HeartbeatDecision.starts(): List<HeartbeatCommand> =
        commands().filter { it.op == CommandOperation.START }

    /** The status that a machine reports for the attempt of this command. */
    protected fun HeartbeatCommand.status(state: TaskState = TaskState.RUNNING, cause: ExitCause? = null) =
        TaskStatus(task, attempt, state, cause)

    protected fun HeartbeatCommand.exited(cause: ExitCause) = status(TaskState.EXITED, cause)

    protected fun List<HeartbeatCommand>.running(): List<TaskStatus> = map { it.status() }

    /** The status of a running task that an earlier leader started. */
    protected fun runningTask(task: String) = TaskStatus(task, 9, TaskState.RUNNING)

    /** Adds the machines to the partition as registered and idle machines. */
    protected fun Partition.register(vararg ids: String) {
        ids.forEach { heartbeat(it, fencingToken, 1) }
        fleet.updateRegistered(machines.map { it.id }.toSet())
    }
}
