package io.otterknot.partition

import io.otterknot.jobs.Job
import io.otterknot.records.JobRecord
import io.otterknot.records.QuotaAmount
import io.otterknot.records.TaskSpan
import io.otterknot.records.TerminalState
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
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

/** One owner's decisions on the reports of its machines. */
class PartitionTest {
    private val type = MachineType("big", 8.0, 0.0, 64.0)
    private val seqs = HashMap<String, Long>()

    private var typesAsked = 0

    private fun partition(registered: List<String> = emptyList(), limit: Double = 1e9, othersUntil: Long = 0) =
        testPartition(
            listOf(TeamQuota("red", 1.0, QuotaAmount(limit, 0.0)), unlimitedTeam("blue")),
            priorLeaderUntilMs = othersUntil,
            registeredMachines = registered.associateWith { "big" },
        ) { type.also { typesAsked++ } }

    private fun job(
        id: Int,
        tasks: Int,
        cores: Double = 2.0,
        priority: Priority = Priority.HIGH,
        team: String = "red",
    ) = Job("j-%06d".format(id)).also {
        it.applyRecord(
            JobRecord(
                JobSpec(it.id, "k", team, priority, tasks, cores, 0.0, 1.0, "i", 1.0, spot = true, estimateS = 5.0),
                listOf(TaskSpan("a", 0, tasks)),
            ),
        )
    }

    private fun Partition.hear(
        machine: String,
        token: Long,
        now: Long,
        vararg tasks: TaskStatus,
        session: Long = 1,
        seq: Long? = null,
        noticeS: Double? = null,
    ): HeartbeatDecision = applyHeartbeat(
        Heartbeat(
            machine, "", "big", "a", false, session,
            seq ?: seqs.merge(
                machine,
                1,
                Long::plus,
            )!!,
            token, noticeS, tasks.toList(),
        ),
        now,
    )

    private fun HeartbeatDecision.commands(): List<HeartbeatCommand> = (this as HeartbeatDecision.Answer).commands

    private fun HeartbeatDecision.starts() = commands().filter { it.op == CommandOperation.START }

    private fun HeartbeatCommand.shown(state: TaskState = TaskState.RUNNING, cause: ExitCause? = null) =
        TaskStatus(task, attempt, state, cause)

    /** A machine that is known, registered and idle. */
    private fun Partition.ready(vararg machines: String) {
        machines.forEach { hear(it, fencingToken, 1) }
        fleet.updateRegistered(this.machines.map { it.id }.toSet())
    }

    @Test
    fun `a machine that has not seen the token gets it and nothing else, and settles nothing`() {
        val partition = partition(listOf("m1", "m2"))
        partition.updateJob(job(1, 4), inherited = true)
        assertEquals(
            HeartbeatDecision.Answer(7, emptyList()),
            partition.hear("m1", 3, 100, TaskStatus("j-000001/0", 9, TaskState.RUNNING)),
        )
        assertTrue(partition.hear("m1", 7, 200, TaskStatus("j-000001/0", 9, TaskState.RUNNING)).commands().isEmpty())
        assertTrue(!partition.reconciled, "m2 may hold the other tasks")
        assertTrue(partition.hear("m2", 3, 300).commands().isEmpty())
        assertTrue(!partition.reconciled, "m2 has not seen the token")
        val started =
            partition.hear("m2", 7, 400).starts() +
                partition.hear("m1", 7, 500, TaskStatus("j-000001/0", 9, TaskState.RUNNING)).starts()
        assertEquals(setOf("j-000001/1", "j-000001/2", "j-000001/3"), started.map { it.task }.toSet())
    }

    @Test
    fun `doubts end with the lease of a machine that stays silent, or with its release`() {
        for (released in listOf(true, false)) {
            val partition = partition(listOf("m1", "gone"))
            partition.updateJob(job(1, 1), inherited = true)
            partition.hear("m1", 7, 100)
            partition.sweep(10_000)
            assertTrue(!partition.reconciled)
            if (released) partition.fleet.machineReleased("gone")
            partition.sweep(if (released) 10_000 else 10_800)
            assertEquals(1, partition.hear("m1", 7, 10_900).starts().size)
        }
    }

    @Test
    fun `a machine that got the token and fell silent keeps its tasks until the lease that the answer renewed`() {
        val partition = partition(listOf("m1", "m2"))
        partition.updateJob(job(1, 1), inherited = true)
        partition.hear("m1", 7, 100)
        partition.hear("m2", 3, 9_000, TaskStatus("j-000001/0", 9, TaskState.RUNNING))
        for (now in listOf(10_900L, 15_000L, 19_000L)) {
            partition.sweep(now)
            assertTrue(partition.hear("m1", 7, now).starts().isEmpty(), "at $now")
        }
        partition.sweep(19_800)
        assertEquals(1, partition.hear("m1", 7, 19_900).starts().size)
    }

    @Test
    fun `a higher token means another owner, an older report means nothing`() {
        val partition = partition()
        assertEquals(HeartbeatDecision.Superseded, partition.hear("m1", 8, 1))
        partition.hear("m1", 7, 2, session = 2, seq = 5)
        for ((session, seq) in listOf(
            1L to 9L,
            2L to 4L,
            2L to 5L,
        )) {
            assertEquals(HeartbeatDecision.Stale, partition.hear("m1", 7, 3, session = session, seq = seq))
        }
    }

    @Test
    fun `a start that the next report does not show is tried again under another number`() {
        val partition = partition()
        partition.ready("m1")
        partition.updateJob(job(1, 1), inherited = false)
        val first = partition.hear("m1", 7, 10).starts().single()
        val second = partition.hear("m1", 7, 20).starts().single()
        assertNotEquals(first.attempt, second.attempt)
        assertTrue(partition.hear("m1", 7, 30, second.shown()).commands().isEmpty())
        // A new session has forgotten everything.
        assertEquals("j-000001/0", partition.hear("m1", 7, 40, session = 2, seq = 1).starts().single().task)
    }

    @Test
    fun `a silent machine's tasks start elsewhere only after its lease`() {
        val partition = partition()
        partition.ready("m1", "m2")
        partition.updateJob(job(1, 1, cores = 8.0), inherited = false)
        val holder = if (partition.hear("m1", 7, 10).starts().isNotEmpty()) {
            "m1"
        } else {
            "m2".also {
                partition.hear("m2", 7, 10)
            }
        }
        val other = if (holder == "m1") "m2" else "m1"
        for (now in listOf(5_000L, 10_000L)) {
            partition.sweep(now)
            assertTrue(partition.hear(other, 7, now).starts().isEmpty(), "at $now")
        }
        partition.sweep(10_800)
        assertEquals(1, partition.hear(other, 7, 10_900).starts().size)
    }

    @Test
    fun `a completion is forgotten only once it is durable`() {
        val partition = partition()
        partition.ready("m1")
        val job = job(1, 1)
        partition.updateJob(job, inherited = false)
        val start = partition.hear("m1", 7, 10).starts().single()
        assertTrue(partition.hear("m1", 7, 20, start.shown(TaskState.EXITED, ExitCause.DONE)).commands().isEmpty())
        assertTrue(partition.job(job.id)!!.unrecordedCompletions.get(0))
        job.completedTasks.set(0)
        partition.applyCompletions(job)
        assertEquals(
            listOf(CommandOperation.FORGET),
            partition.hear("m1", 7, 30, start.shown(TaskState.EXITED, ExitCause.DONE)).commands().map {
                it.op
            },
        )
    }

    @Test
    fun `a cancelled job is halted where it runs and started nowhere`() {
        val partition = partition()
        partition.ready("m1")
        val job = job(1, 6)
        partition.updateJob(job, inherited = false)
        val starts = partition.hear("m1", 7, 10).starts()
        assertEquals(4, starts.size)
        job.applyRecord(JobRecord(terminalState = TerminalState.CANCELLED), 2)
        partition.updateJob(job, inherited = false)
        val commands = partition.hear("m1", 7, 20, *starts.map { it.shown() }.toTypedArray()).commands()
        assertEquals(List(4) { CommandOperation.HALT }, commands.map { it.op })
        assertTrue(partition.hear("m1", 7, 30).commands().isEmpty())
    }

    @Test
    fun `a team keeps to its allotment, also while a machine is not known yet`() {
        val partition = partition(listOf("unknown"), limit = 10.0)
        partition.hear("m1", 7, 1)
        partition.fleet.updateRegistered(setOf("m1", "unknown"))
        partition.updateJob(job(1, 4), inherited = false)
        assertEquals(
            1,
            partition.hear("m1", 7, 10).starts().size,
            "eight of ten cores may be in use on the unknown machine",
        )
        partition.fleet.machineReleased("unknown")
        partition.sweep(20)
        assertEquals(4, partition.hear("m1", 7, 30).starts().size)
        partition.updateJob(job(2, 4), inherited = false)
        partition.ready("m2")
        assertTrue(partition.hear("m2", 7, 40).starts().size <= 1)
    }

    /** The answer that tells it to stop may be lost, and the team's other tasks would start beside it meanwhile. */
    @Test
    fun `what a machine shows of a job that is over counts against every limit until it is gone`() {
        val partition = partition(listOf("m1", "m2"), limit = 10.0)
        partition.updateJob(job(1, 4), inherited = true)
        val running = TaskStatus("j-000009/0", 9, TaskState.RUNNING)
        partition.hear("m2", 7, 10)
        for (now in listOf(20L, 30L)) {
            assertEquals(listOf(CommandOperation.HALT), partition.hear("m1", 7, now, running).commands().map { it.op })
            assertTrue(partition.reconciled)
            assertTrue(partition.hear("m2", 7, now + 1).starts().size <= 1, "all of m1 may be the team's")
        }
        partition.hear("m1", 7, 40, running.copy(state = TaskState.EXITED, cause = ExitCause.STOPPED))
        partition.sweep(45)
        assertEquals(4, partition.machines.sumOf { it.attempts.size })
    }

    /** Hung for long, it may hold them past the time that a cancellation allows; the cloud's answer ends that. */
    @Test
    fun `a machine that fell silent with tasks of a cancelled job goes back, however many others are silent`() {
        val partition = partition()
        partition.ready("m1", "m2")
        val job = job(1, 8)
        partition.updateJob(job, inherited = false)
        for (id in listOf("m1", "m2")) {
            partition.hear(
                id,
                7,
                20,
                *partition.hear(id, 7, 10).starts().map {
                    it.shown()
                }.toTypedArray(),
            )
        }
        job.applyRecord(JobRecord(terminalState = TerminalState.CANCELLED), 2)
        partition.updateJob(job, inherited = false)
        partition.sweep(9_000)
        assertEquals(emptyList<String>(), partition.fleet.unresponsive(9_000, 20_000))
        partition.sweep(10_900)
        assertEquals(listOf("m1", "m2"), partition.fleet.unresponsive(10_900, 20_000).sorted())
        partition.hear("m1", 7, 11_000, session = 2, seq = 1)
        assertEquals(listOf("m2"), partition.fleet.unresponsive(11_000, 20_000), "it is back, with nothing")
        partition.fleet.machineReleased("m2")
        assertEquals(emptyList<String>(), partition.fleet.unresponsive(11_000, 20_000))
    }

    @Test
    fun `urgent work stops lesser work, the newest first, and lesser work does not take the room`() {
        val partition = partition()
        partition.ready("m1")
        partition.updateJob(job(1, 20, cores = 1.0, priority = Priority.BEST_EFFORT, team = "blue"), inherited = false)
        val low = partition.hear("m1", 7, 10).starts()
        assertEquals(8, low.size)
        partition.hear("m1", 7, 20, *low.map { it.shown() }.toTypedArray())
        partition.updateJob(job(2, 1, cores = 3.0), inherited = false)
        assertTrue(
            partition.hear(
                "m1",
                7,
                30,
                *low.map {
                    it.shown()
                }.toTypedArray(),
            ).commands().isEmpty(),
            "lesser work may finish by itself first",
        )
        val halted = partition.hear("m1", 7, 3_030, *low.map { it.shown() }.toTypedArray()).commands()
        assertEquals(List(3) { CommandOperation.HALT }, halted.map { it.op })
        val gone = halted.map { it.attempt }.toSet()
        // Only two of the three have stopped: their cores stay free for the urgent task.
        val two = gone.take(2).toSet()
        val partly = partition.hear(
            "m1",
            7,
            3_040,
            *low.filter {
                it.attempt !in two
            }.map { it.shown() }.toTypedArray(),
        ).commands()
        assertTrue(partly.none { it.op == CommandOperation.START }, "$partly")
        val all = partition.hear(
            "m1",
            7,
            3_050,
            *low.filter {
                it.attempt !in gone
            }.map { it.shown() }.toTypedArray(),
        ).starts()
        assertEquals(listOf("j-000002/0"), all.map { it.task })
    }

    @Test
    fun `tasks set aside for another partition are not started here`() {
        val partition = partition()
        val job = job(1, 6)
        partition.updateJob(job, inherited = false)
        val held = partition.job(job.id)!!
        val aside = partition.reserveForReassignment(held, 8.0)
        assertEquals(4, aside.cardinality())
        partition.ready("m1")
        assertEquals(listOf("j-000001/0", "j-000001/1"), partition.hear("m1", 7, 10).starts().map { it.task })
        // A report from before, held back until now, shows one of them on a machine whose lease has ended since.
        partition.hear("m3", 7, 20, TaskStatus("j-000001/5", 9, TaskState.RUNNING))
        partition.hear("m3", 7, 30, session = 2, seq = 1)
        assertTrue(!held.pending.get(5) && !held.active.containsKey(5))
        partition.completeReassignment(held, aside)
        assertEquals(4, held.pendingCount)
    }

    /**
     * With all unreconciled added up for each waiting job in each pass, a restart of all would cost machines times jobs
     * a report.
     */
    @ParameterizedTest
    @ValueSource(ints = [20, 400])
    fun `what a report costs during a take-over does not grow with the machines or the jobs`(machines: Int) {
        val ids = (1..machines).map { "m$it" }
        val partition = partition(ids)
        for (id in 1..40) partition.updateJob(job(id, 3), inherited = false)
        ids.forEach { partition.hear(it, 3, 100) }
        typesAsked = 0
        ids.dropLast(1).forEach { partition.hear(it, 7, 200) }
        assertTrue(!partition.reconciled)
        assertTrue(typesAsked < 5 * machines, "$typesAsked looked up for $machines reports")
    }

    /** At any time some machine of a large partition is dead, and after a claim it would hold thousands of tasks up. */
    @ParameterizedTest
    @CsvSource("1,4900,0", "1,5100,1", "5,5100,0", "5,7600,5", "40,7600,0")
    fun `machines not heard of since a claim are given back, sooner when they are few`(
        missing: Int,
        now: Long,
        returned: Int,
    ) {
        val ids = (1..100).map { "m$it" }
        val partition = partition(ids)
        partition.updateJob(job(1, 1), inherited = true)
        ids.drop(missing).forEach { partition.hear(it, 7, now - 500) }
        assertEquals(ids.take(returned), partition.fleet.unresponsive(now, 7_500).sorted())
        assertTrue(!partition.reconciled)
    }

    @Test
    fun `a partition is given up only once nobody before its owner may act`() {
        val partition = partition(othersUntil = 20_000)
        partition.sweep(10)
        assertTrue(
            partition.reconciled && !partition.mayTransferLeadership(19_000) && partition.mayTransferLeadership(21_000),
        )
    }

    /** Waiting for the loss instead would make a task late by the whole notice. */
    @Test
    fun `what cannot end before the cloud takes its machine begins elsewhere at once`() {
        // The estimate is 5 s, and the task has run for 2 s when the notice comes.
        for ((noticeS, op) in listOf(4.0 to emptyList(), 2.0 to listOf(CommandOperation.HALT))) {
            val partition = partition()
            partition.ready("m1")
            partition.updateJob(job(1, 1), inherited = false)
            val start = partition.hear("m1", 7, 10).starts().single()
            partition.hear("m1", 7, 1_000, start.shown())
            partition.ready("m2")
            assertEquals(op, partition.hear("m1", 7, 3_000, start.shown(), noticeS = noticeS).commands().map { it.op })
            val shown = if (op.isEmpty()) start.shown() else start.shown(TaskState.EXITED, ExitCause.STOPPED)
            partition.hear("m1", 7, 3_600, shown, noticeS = noticeS - 0.6)
            assertEquals(op.size, partition.hear("m2", 7, 3_700).starts().size)
        }
    }

    @Test
    fun `what is booked on a machine that the cloud takes is not sent there`() {
        val partition = partition()
        partition.ready("m1")
        partition.updateJob(job(1, 1), inherited = false)
        partition.sweep(10)
        assertTrue(partition.hear("m1", 7, 20, noticeS = 30.0).commands().isEmpty())
        partition.ready("m2")
        assertEquals(1, partition.hear("m2", 7, 40).starts().size)
    }

    /**
     * Each of its reports was answered, so counting its lease from the last of them would leave the partition in doubt
     * for ever.
     */
    @Test
    fun `a machine that never shows the token holds up doubts no longer than two leases`() {
        val partition = partition(listOf("m1", "deaf"))
        partition.updateJob(job(1, 1), inherited = true)
        var startedAt = 0L
        for (now in 100L..40_000L step 800) {
            partition.hear("deaf", 3, now, TaskStatus("j-000001/0", 9, TaskState.RUNNING))
            partition.sweep(now)
            if (partition.hear("m1", 7, now + 1).starts().isNotEmpty()) {
                startedAt = now
                break
            }
        }
        assertTrue(startedAt in 14_000..21_500, "$startedAt")
    }

    @Test
    fun `a machine that loses answers gets one task at a time at most, and is told to be returned`() {
        val partition = partition()
        partition.ready("deaf", "m1", "m2", "m3")
        partition.updateJob(job(1, 60, cores = 1.0), inherited = false)
        var tries = 0
        for (now in 10L..12_000L step 800) {
            val starts = partition.hear("deaf", 7, now).starts()
            if (starts.isNotEmpty()) tries++
            if (tries > 2) assertTrue(starts.size <= 1)
            listOf("m1", "m2", "m3").forEach { partition.hear(it, 7, now) }
            if (now > 3_000) assertTrue(partition.machines.first { it.id == "deaf" }.losesResponses)
        }
        assertTrue(tries <= 7, "$tries")
        assertTrue("deaf" in partition.fleet.losingResponses())
        partition.sweep(12_100, isLeaderSlow = true)
        assertEquals(
            emptyList<String>(),
            partition.fleet.losingResponses(),
            "this node is slow, and no machine to blame",
        )
        val alone = partition()
        alone.ready("deaf", "m1", "m2", "m3")
        alone.updateJob(job(2, 60, cores = 1.0), inherited = false)
        val shown = HashMap<String, List<TaskStatus>>()
        for (now in 10L..30_000L step 800) {
            alone.hear("deaf", 7, now)
            for (id in listOf("m1", "m2", "m3")) {
                shown.merge(
                    id,
                    alone.hear(id, 7, now, *shown[id].orEmpty().toTypedArray()).starts().map {
                        it.shown()
                    },
                    List<TaskStatus>::plus,
                )
            }
            alone.sweep(now)
        }
        assertEquals(listOf("deaf"), alone.fleet.losingResponses())
    }

    @Test
    fun `copies of reports older than what was seen bring nothing back`() {
        val partition = partition()
        partition.ready("m1", "m2")
        partition.updateJob(job(1, 1), inherited = false)
        val start = listOf("m1", "m2").firstNotNullOf { id ->
            partition.hear(id, 7, 10).starts().firstOrNull()?.let {
                id to
                    it
            }
        }
        partition.hear(start.first, 7, 20, start.second.shown())
        val seen = seqs.getValue(start.first)
        for (leave in listOf<(String) -> Unit>(partition.fleet::forget, partition.fleet::machineReleased)) {
            leave(start.first)
            assertEquals(HeartbeatDecision.Stale, partition.hear(start.first, 7, 30, start.second.shown(), seq = seen))
            assertEquals(null, partition.machine(start.first))
        }
        assertEquals(
            HeartbeatDecision.Stale,
            partition.hear(start.first, 7, 30, seq = seen + 50),
            "a machine that the cloud took back is gone for good",
        )
    }

    @Test
    fun `a job that has not begun for long gets one task before more urgent work`() {
        val partition = partition()
        partition.ready("m1")
        partition.updateJob(job(1, 500, cores = 1.0), inherited = false)
        partition.updateJob(
            job(2, 500, cores = 1.0, priority = Priority.BEST_EFFORT, team = "blue").also {
                it.applyRecord(it.record!!.copy(submittedMs = 1))
            },
            inherited = false,
        )
        var shown = partition.hear("m1", 7, 10).starts().map { it.shown() }
        val starts = ArrayList<String>()
        for (now in 1_000L..100_000L step 1_000) {
            partition.sweep(now)
            partition.hear("m1", 7, now, *shown.toTypedArray())
            val exits = shown.map { it.copy(state = TaskState.EXITED, cause = ExitCause.STOPPED) }
            val answer = partition.hear("m1", 7, now, *exits.toTypedArray()).starts()
            shown = answer.map { it.shown() }
            starts += answer.map { it.task }
        }
        assertEquals(1, starts.count { it.startsWith("j-000002") })
    }

    /**
     * The owner before may not know yet that its partition was claimed: what is not known by a report waits for its
     * fence too.
     */
    @Test
    fun `while an overridden owner may still act, time alone settles nothing`() {
        for ((others, settles) in listOf(0L to 10_800L, 22_000L to 32_800L)) {
            val partition = partition(listOf("m1", "gone"), othersUntil = others)
            partition.updateJob(job(1, 1), inherited = true)
            var startedAt = 0L
            for (now in 100L..40_000L step 100) {
                partition.sweep(now)
                if (startedAt == 0L && partition.hear("m1", 7, now).starts().isNotEmpty()) startedAt = now
            }
            assertEquals(settles, startedAt)
        }
    }

    @Test
    fun `a machine that is slow for several tasks is emptied, one long task is tried elsewhere once`() {
        val partition = partition()
        partition.ready("m1", "m2", "slow")
        partition.updateJob(job(1, 200, cores = 2.0), inherited = false)
        val running = HashMap<String, MutableMap<HeartbeatCommand, Long>>()
        var halts = 0
        for (now in 1_000L..120_000L step 1_000) {
            partition.sweep(now)
            for (id in listOf("m1", "m2", "slow")) {
                val here = running.getOrPut(id) { LinkedHashMap() }
                val takes = if (id == "slow") 40_000 else 10_000
                val (over, still) = here.entries.partition { now - it.value >= takes }
                val shown = still.map { it.key.shown() } + over.map { it.key.shown(TaskState.EXITED, ExitCause.DONE) }
                val answer = partition.hear(id, 7, now, *shown.toTypedArray())
                over.forEach { here.remove(it.key) }
                for (command in answer.commands()) {
                    if (command.op == CommandOperation.START) here[command] = now
                    if (command.op == CommandOperation.HALT) {
                        halts++
                        here.keys.removeIf { it.task == command.task }
                    }
                }
            }
        }
        assertTrue(partition.machines.first { it.id == "slow" }.draining)
        assertTrue(partition.machines.none { it.id != "slow" && it.draining })
        assertTrue(halts in 1..8, "$halts")
    }
}
