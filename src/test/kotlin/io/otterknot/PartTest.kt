package io.otterknot

import io.otterknot.placement.Aims
import io.otterknot.placement.Part
import io.otterknot.placement.PartTimes
import io.otterknot.placement.ReportDecision
import io.otterknot.placement.TeamShare
import io.otterknot.state.Amount
import io.otterknot.state.Final
import io.otterknot.state.Job
import io.otterknot.state.JobRecord
import io.otterknot.state.Span
import io.otterknot.wire.Command
import io.otterknot.wire.JobSpec
import io.otterknot.wire.MachineType
import io.otterknot.wire.Priority
import io.otterknot.wire.Report
import io.otterknot.wire.TaskReport
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

/** One owner's decisions on the reports of its machines. */
class PartTest {
    private val type = MachineType("big", 8.0, 0.0, 64.0)
    private val seqs = HashMap<String, Long>()

    private var typesAsked = 0

    private fun part(registered: List<String> = emptyList(), limit: Double = 1e9, othersUntil: Long = 0) = Part(
        "a", 7, 0, othersUntil, PartTimes(10_000), Random(1), Aims(emptyMap()), { it }, { type.also { typesAsked++ } },
        listOf(TeamShare("red", 1.0, Amount(limit, 0.0)), TeamShare("blue", 1.0, Amount(1e9, 0.0))),
        registered.associateWith {
            "big"
        },
    )

    private fun job(
        id: Int,
        tasks: Int,
        cores: Double = 2.0,
        priority: Priority = Priority.HIGH,
        team: String = "red",
    ) = Job("j-%06d".format(id)).also {
        it.record =
            JobRecord(
                JobSpec(it.id, "k", team, priority, tasks, cores, 0.0, 1.0, "i", 1.0, spot = true, estimateS = 5.0),
                listOf(Span("a", 0, tasks)),
            )
    }

    private fun Part.hear(
        machine: String,
        token: Long,
        now: Long,
        vararg tasks: TaskReport,
        session: Long = 1,
        seq: Long? = null,
        noticeS: Double? = null,
    ): ReportDecision = report(
        Report(
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

    private fun ReportDecision.commands(): List<Command> = (this as ReportDecision.Answer).commands

    private fun ReportDecision.starts() = commands().filter { it.op == "start" }

    private fun Command.shown(state: String = "running", cause: String? = null) =
        TaskReport(task, attempt, state, cause)

    /** A machine that is known, registered and idle. */
    private fun Part.ready(vararg machines: String) {
        machines.forEach { hear(it, token, 1) }
        registeredNow(this.machines.map { it.id }.toSet())
    }

    @Test
    fun `a machine that has not seen the token gets it and nothing else, and settles nothing`() {
        val part = part(listOf("m1", "m2"))
        part.updateJob(job(1, 4), inherited = true)
        assertEquals(
            ReportDecision.Answer(7, emptyList()),
            part.hear("m1", 3, 100, TaskReport("j-000001/0", 9, "running")),
        )
        assertTrue(part.hear("m1", 7, 200, TaskReport("j-000001/0", 9, "running")).commands().isEmpty())
        assertTrue(!part.settled, "m2 may hold the other tasks")
        assertTrue(part.hear("m2", 3, 300).commands().isEmpty())
        assertTrue(!part.settled, "m2 has not seen the token")
        val started =
            part.hear("m2", 7, 400).starts() + part.hear("m1", 7, 500, TaskReport("j-000001/0", 9, "running")).starts()
        assertEquals(setOf("j-000001/1", "j-000001/2", "j-000001/3"), started.map { it.task }.toSet())
    }

    @Test
    fun `doubts end with the lease of a machine that stays silent, or with its release`() {
        for (released in listOf(true, false)) {
            val part = part(listOf("m1", "gone"))
            part.updateJob(job(1, 1), inherited = true)
            part.hear("m1", 7, 100)
            part.sweep(10_000)
            assertTrue(!part.settled)
            if (released) part.released("gone")
            part.sweep(if (released) 10_000 else 10_800)
            assertEquals(1, part.hear("m1", 7, 10_900).starts().size)
        }
    }

    @Test
    fun `a machine that got the token and fell silent keeps its tasks until the lease that the answer renewed`() {
        val part = part(listOf("m1", "m2"))
        part.updateJob(job(1, 1), inherited = true)
        part.hear("m1", 7, 100)
        part.hear("m2", 3, 9_000, TaskReport("j-000001/0", 9, "running"))
        for (now in listOf(10_900L, 15_000L, 19_000L)) {
            part.sweep(now)
            assertTrue(part.hear("m1", 7, now).starts().isEmpty(), "at $now")
        }
        part.sweep(19_800)
        assertEquals(1, part.hear("m1", 7, 19_900).starts().size)
    }

    @Test
    fun `a higher token means another owner, an older report means nothing`() {
        val part = part()
        assertEquals(ReportDecision.Superseded, part.hear("m1", 8, 1))
        part.hear("m1", 7, 2, session = 2, seq = 5)
        for ((session, seq) in listOf(
            1L to 9L,
            2L to 4L,
            2L to 5L,
        )) {
            assertEquals(ReportDecision.Stale, part.hear("m1", 7, 3, session = session, seq = seq))
        }
    }

    @Test
    fun `a start that the next report does not show is tried again under another number`() {
        val part = part()
        part.ready("m1")
        part.updateJob(job(1, 1), inherited = false)
        val first = part.hear("m1", 7, 10).starts().single()
        val second = part.hear("m1", 7, 20).starts().single()
        assertNotEquals(first.attempt, second.attempt)
        assertTrue(part.hear("m1", 7, 30, second.shown()).commands().isEmpty())
        // A new session has forgotten everything.
        assertEquals("j-000001/0", part.hear("m1", 7, 40, session = 2, seq = 1).starts().single().task)
    }

    @Test
    fun `a silent machine's tasks start elsewhere only after its lease`() {
        val part = part()
        part.ready("m1", "m2")
        part.updateJob(job(1, 1, cores = 8.0), inherited = false)
        val holder = if (part.hear("m1", 7, 10).starts().isNotEmpty()) "m1" else "m2".also { part.hear("m2", 7, 10) }
        val other = if (holder == "m1") "m2" else "m1"
        for (now in listOf(5_000L, 10_000L)) {
            part.sweep(now)
            assertTrue(part.hear(other, 7, now).starts().isEmpty(), "at $now")
        }
        part.sweep(10_800)
        assertEquals(1, part.hear(other, 7, 10_900).starts().size)
    }

    @Test
    fun `a completion is forgotten only once it is durable`() {
        val part = part()
        part.ready("m1")
        val job = job(1, 1)
        part.updateJob(job, inherited = false)
        val start = part.hear("m1", 7, 10).starts().single()
        assertTrue(part.hear("m1", 7, 20, start.shown("exited", "done")).commands().isEmpty())
        assertTrue(part.job(job.id)!!.fresh.get(0))
        job.done.set(0)
        part.updateDone(job)
        assertEquals(listOf("forget"), part.hear("m1", 7, 30, start.shown("exited", "done")).commands().map { it.op })
    }

    @Test
    fun `a cancelled job is halted where it runs and started nowhere`() {
        val part = part()
        part.ready("m1")
        val job = job(1, 6)
        part.updateJob(job, inherited = false)
        val starts = part.hear("m1", 7, 10).starts()
        assertEquals(4, starts.size)
        job.record = JobRecord(final = Final.CANCELLED)
        part.updateJob(job, inherited = false)
        val commands = part.hear("m1", 7, 20, *starts.map { it.shown() }.toTypedArray()).commands()
        assertEquals(List(4) { "halt" }, commands.map { it.op })
        assertTrue(part.hear("m1", 7, 30).commands().isEmpty())
    }

    @Test
    fun `a team keeps to its allotment, also while a machine is not known yet`() {
        val part = part(listOf("unknown"), limit = 10.0)
        part.hear("m1", 7, 1)
        part.registeredNow(setOf("m1", "unknown"))
        part.updateJob(job(1, 4), inherited = false)
        assertEquals(1, part.hear("m1", 7, 10).starts().size, "eight of ten cores may be in use on the unknown machine")
        part.released("unknown")
        part.sweep(20)
        assertEquals(4, part.hear("m1", 7, 30).starts().size)
        part.updateJob(job(2, 4), inherited = false)
        part.ready("m2")
        assertTrue(part.hear("m2", 7, 40).starts().size <= 1)
    }

    /** The answer that tells it to stop may be lost, and the team's other tasks would start beside it meanwhile. */
    @Test
    fun `what a machine shows of a job that is over counts against every limit until it is gone`() {
        val part = part(listOf("m1", "m2"), limit = 10.0)
        part.updateJob(job(1, 4), inherited = true)
        val running = TaskReport("j-000009/0", 9, "running")
        part.hear("m2", 7, 10)
        for (now in listOf(20L, 30L)) {
            assertEquals(listOf("halt"), part.hear("m1", 7, now, running).commands().map { it.op })
            assertTrue(part.settled)
            assertTrue(part.hear("m2", 7, now + 1).starts().size <= 1, "all of m1 may be the team's")
        }
        part.hear("m1", 7, 40, running.copy(state = "exited", cause = "stopped"))
        part.sweep(45)
        assertEquals(4, part.machines.sumOf { it.attempts.size })
    }

    /** Hung for long, it may hold them past the time that a cancellation allows; the cloud's answer ends that. */
    @Test
    fun `a machine that fell silent with tasks of a cancelled job goes back, however many others are silent`() {
        val part = part()
        part.ready("m1", "m2")
        val job = job(1, 8)
        part.updateJob(job, inherited = false)
        for (id in listOf("m1", "m2")) {
            part.hear(
                id,
                7,
                20,
                *part.hear(id, 7, 10).starts().map {
                    it.shown()
                }.toTypedArray(),
            )
        }
        job.record = JobRecord(final = Final.CANCELLED)
        part.updateJob(job, inherited = false)
        part.sweep(9_000)
        assertEquals(emptyList<String>(), part.hung(9_000, 20_000))
        part.sweep(10_900)
        assertEquals(listOf("m1", "m2"), part.hung(10_900, 20_000).sorted())
        part.hear("m1", 7, 11_000, session = 2, seq = 1)
        assertEquals(listOf("m2"), part.hung(11_000, 20_000), "it is back, with nothing")
        part.released("m2")
        assertEquals(emptyList<String>(), part.hung(11_000, 20_000))
    }

    @Test
    fun `urgent work stops lesser work, the newest first, and lesser work does not take the room`() {
        val part = part()
        part.ready("m1")
        part.updateJob(job(1, 20, cores = 1.0, priority = Priority.BEST_EFFORT, team = "blue"), inherited = false)
        val low = part.hear("m1", 7, 10).starts()
        assertEquals(8, low.size)
        part.hear("m1", 7, 20, *low.map { it.shown() }.toTypedArray())
        part.updateJob(job(2, 1, cores = 3.0), inherited = false)
        assertTrue(
            part.hear(
                "m1",
                7,
                30,
                *low.map {
                    it.shown()
                }.toTypedArray(),
            ).commands().isEmpty(),
            "lesser work may finish by itself first",
        )
        val halted = part.hear("m1", 7, 3_030, *low.map { it.shown() }.toTypedArray()).commands()
        assertEquals(List(3) { "halt" }, halted.map { it.op })
        val gone = halted.map { it.attempt }.toSet()
        // Only two of the three have stopped: their cores stay free for the urgent task.
        val two = gone.take(2).toSet()
        val partly = part.hear(
            "m1",
            7,
            3_040,
            *low.filter {
                it.attempt !in two
            }.map { it.shown() }.toTypedArray(),
        ).commands()
        assertTrue(partly.none { it.op == "start" }, "$partly")
        val all = part.hear(
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
    fun `tasks set aside for another part are not started here`() {
        val part = part()
        val job = job(1, 6)
        part.updateJob(job, inherited = false)
        val held = part.job(job.id)!!
        val aside = part.setAside(held, 8.0)
        assertEquals(4, aside.cardinality())
        part.ready("m1")
        assertEquals(listOf("j-000001/0", "j-000001/1"), part.hear("m1", 7, 10).starts().map { it.task })
        // A report from before, held back until now, shows one of them on a machine whose lease has ended since.
        part.hear("m3", 7, 20, TaskReport("j-000001/5", 9, "running"))
        part.hear("m3", 7, 30, session = 2, seq = 1)
        assertTrue(!held.pending.get(5) && !held.active.containsKey(5))
        part.settleHandover(held, aside)
        assertEquals(4, held.waiting)
    }

    /**
     * With all suspects added up for each waiting job in each pass, a restart of all would cost machines times jobs a
     * report.
     */
    @ParameterizedTest
    @ValueSource(ints = [20, 400])
    fun `what a report costs during a take-over does not grow with the machines or the jobs`(machines: Int) {
        val ids = (1..machines).map { "m$it" }
        val part = part(ids)
        for (id in 1..40) part.updateJob(job(id, 3), inherited = false)
        ids.forEach { part.hear(it, 3, 100) }
        typesAsked = 0
        ids.dropLast(1).forEach { part.hear(it, 7, 200) }
        assertTrue(!part.settled)
        assertTrue(typesAsked < 5 * machines, "$typesAsked looked up for $machines reports")
    }

    /** At any time some machine of a large part is dead, and after a claim it would hold thousands of tasks up. */
    @ParameterizedTest
    @CsvSource("1,4900,0", "1,5100,1", "5,5100,0", "5,7600,5", "40,7600,0")
    fun `machines not heard of since a claim are given back, sooner when they are few`(
        missing: Int,
        now: Long,
        returned: Int,
    ) {
        val ids = (1..100).map { "m$it" }
        val part = part(ids)
        part.updateJob(job(1, 1), inherited = true)
        ids.drop(missing).forEach { part.hear(it, 7, now - 500) }
        assertEquals(ids.take(returned), part.hung(now, 7_500).sorted())
        assertTrue(!part.settled)
    }

    @Test
    fun `a part is given up only once nobody before its owner may act`() {
        val part = part(othersUntil = 20_000)
        part.sweep(10)
        assertTrue(part.settled && !part.mayYield(19_000) && part.mayYield(21_000))
    }

    /** Waiting for the loss instead would make a task late by the whole notice. */
    @Test
    fun `what cannot end before the cloud takes its machine begins elsewhere at once`() {
        // The estimate is 5 s, and the task has run for 2 s when the notice comes.
        for ((noticeS, op) in listOf(4.0 to emptyList(), 2.0 to listOf("halt"))) {
            val part = part()
            part.ready("m1")
            part.updateJob(job(1, 1), inherited = false)
            val start = part.hear("m1", 7, 10).starts().single()
            part.hear("m1", 7, 1_000, start.shown())
            part.ready("m2")
            assertEquals(op, part.hear("m1", 7, 3_000, start.shown(), noticeS = noticeS).commands().map { it.op })
            val shown = if (op.isEmpty()) start.shown() else start.shown("exited", "stopped")
            part.hear("m1", 7, 3_600, shown, noticeS = noticeS - 0.6)
            assertEquals(op.size, part.hear("m2", 7, 3_700).starts().size)
        }
    }

    @Test
    fun `what is booked on a machine that the cloud takes is not sent there`() {
        val part = part()
        part.ready("m1")
        part.updateJob(job(1, 1), inherited = false)
        part.sweep(10)
        assertTrue(part.hear("m1", 7, 20, noticeS = 30.0).commands().isEmpty())
        part.ready("m2")
        assertEquals(1, part.hear("m2", 7, 40).starts().size)
    }

    /**
     * Each of its reports was answered, so counting its lease from the last of them would leave the part in doubt for
     * ever.
     */
    @Test
    fun `a machine that never shows the token holds up doubts no longer than two leases`() {
        val part = part(listOf("m1", "deaf"))
        part.updateJob(job(1, 1), inherited = true)
        var startedAt = 0L
        for (now in 100L..40_000L step 800) {
            part.hear("deaf", 3, now, TaskReport("j-000001/0", 9, "running"))
            part.sweep(now)
            if (part.hear("m1", 7, now + 1).starts().isNotEmpty()) {
                startedAt = now
                break
            }
        }
        assertTrue(startedAt in 14_000..21_500, "$startedAt")
    }

    @Test
    fun `a machine that loses answers gets one task at a time at most, and is told to be returned`() {
        val part = part()
        part.ready("deaf", "m1", "m2", "m3")
        part.updateJob(job(1, 60, cores = 1.0), inherited = false)
        var tries = 0
        for (now in 10L..12_000L step 800) {
            val starts = part.hear("deaf", 7, now).starts()
            if (starts.isNotEmpty()) tries++
            if (tries > 2) assertTrue(starts.size <= 1)
            listOf("m1", "m2", "m3").forEach { part.hear(it, 7, now) }
            if (now > 3_000) assertTrue(part.machines.first { it.id == "deaf" }.deaf)
        }
        assertTrue(tries <= 7, "$tries")
        assertTrue("deaf" in part.unreachable())
        part.sweep(12_100, slow = true)
        assertEquals(emptyList<String>(), part.unreachable(), "this node is slow, and no machine to blame")
        val alone = part()
        alone.ready("deaf", "m1", "m2", "m3")
        alone.updateJob(job(2, 60, cores = 1.0), inherited = false)
        val shown = HashMap<String, List<TaskReport>>()
        for (now in 10L..30_000L step 800) {
            alone.hear("deaf", 7, now)
            for (id in listOf("m1", "m2", "m3")) {
                shown.merge(
                    id,
                    alone.hear(id, 7, now, *shown[id].orEmpty().toTypedArray()).starts().map {
                        it.shown()
                    },
                    List<TaskReport>::plus,
                )
            }
            alone.sweep(now)
        }
        assertEquals(listOf("deaf"), alone.unreachable())
    }

    @Test
    fun `copies of reports older than what was seen bring nothing back`() {
        val part = part()
        part.ready("m1", "m2")
        part.updateJob(job(1, 1), inherited = false)
        val start = listOf("m1", "m2").firstNotNullOf { id ->
            part.hear(id, 7, 10).starts().firstOrNull()?.let {
                id to
                    it
            }
        }
        part.hear(start.first, 7, 20, start.second.shown())
        val seen = seqs.getValue(start.first)
        for (leave in listOf<(String) -> Unit>(part::dismiss, part::released)) {
            leave(start.first)
            assertEquals(ReportDecision.Stale, part.hear(start.first, 7, 30, start.second.shown(), seq = seen))
            assertEquals(null, part.machine(start.first))
        }
        assertEquals(
            ReportDecision.Stale,
            part.hear(start.first, 7, 30, seq = seen + 50),
            "a machine that the cloud took back is gone for good",
        )
    }

    @Test
    fun `a job that has not begun for long gets one task before more urgent work`() {
        val part = part()
        part.ready("m1")
        part.updateJob(job(1, 500, cores = 1.0), inherited = false)
        part.updateJob(
            job(2, 500, cores = 1.0, priority = Priority.BEST_EFFORT, team = "blue").also {
                it.record =
                    it.record!!.copy(submittedMs = 1)
            },
            inherited = false,
        )
        var shown = part.hear("m1", 7, 10).starts().map { it.shown() }
        val starts = ArrayList<String>()
        for (now in 1_000L..100_000L step 1_000) {
            part.sweep(now)
            part.hear("m1", 7, now, *shown.toTypedArray())
            val exits = shown.map { it.copy(state = "exited", cause = "stopped") }
            val answer = part.hear("m1", 7, now, *exits.toTypedArray()).starts()
            shown = answer.map { it.shown() }
            starts += answer.map { it.task }
        }
        assertEquals(1, starts.count { it.startsWith("j-000002") })
    }

    /**
     * The owner before may not know yet that its part was claimed: what is not known by a report waits for its fence
     * too.
     */
    @Test
    fun `while an overridden owner may still act, time alone settles nothing`() {
        for ((others, settles) in listOf(0L to 10_800L, 22_000L to 32_800L)) {
            val part = part(listOf("m1", "gone"), othersUntil = others)
            part.updateJob(job(1, 1), inherited = true)
            var startedAt = 0L
            for (now in 100L..40_000L step 100) {
                part.sweep(now)
                if (startedAt == 0L && part.hear("m1", 7, now).starts().isNotEmpty()) startedAt = now
            }
            assertEquals(settles, startedAt)
        }
    }

    @Test
    fun `a machine that is slow for several tasks is emptied, one long task is tried elsewhere once`() {
        val part = part()
        part.ready("m1", "m2", "slow")
        part.updateJob(job(1, 200, cores = 2.0), inherited = false)
        val running = HashMap<String, MutableMap<Command, Long>>()
        var halts = 0
        for (now in 1_000L..120_000L step 1_000) {
            part.sweep(now)
            for (id in listOf("m1", "m2", "slow")) {
                val here = running.getOrPut(id) { LinkedHashMap() }
                val takes = if (id == "slow") 40_000 else 10_000
                val (over, still) = here.entries.partition { now - it.value >= takes }
                val shown = still.map { it.key.shown() } + over.map { it.key.shown("exited", "done") }
                val answer = part.hear(id, 7, now, *shown.toTypedArray())
                over.forEach { here.remove(it.key) }
                for (command in answer.commands()) {
                    if (command.op == "start") here[command] = now
                    if (command.op == "halt") {
                        halts++
                        here.keys.removeIf { it.task == command.task }
                    }
                }
            }
        }
        assertTrue(part.machines.first { it.id == "slow" }.draining)
        assertTrue(part.machines.none { it.id != "slow" && it.draining })
        assertTrue(halts in 1..8, "$halts")
    }
}
