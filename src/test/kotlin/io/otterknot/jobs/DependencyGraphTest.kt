package io.otterknot.jobs

import io.otterknot.records.CompletionSegmentRecord
import io.otterknot.records.JobRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.TaskSpan
import io.otterknot.records.TerminalState
import io.otterknot.records.decodeRecord
import io.otterknot.records.encodeRecord
import io.otterknot.scheduling.PartitionJob
import io.otterknot.scheduling.ServiceLevelObjective
import io.otterknot.scheduling.ServiceLevelObjectives
import io.otterknot.store.ReplicaEntry
import io.otterknot.store.WriteLimits
import io.otterknot.testing.testPartition
import io.otterknot.testing.unlimitedTeam
import io.otterknot.wire.JobSpec
import io.otterknot.wire.KeyChange
import io.otterknot.wire.MachineType
import io.otterknot.wire.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTimeout
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.time.Duration
import kotlin.random.Random

/** Jobs that depend on others: when they are ready or cancelled, and what they inherit, from the replica alone. */
class DependencyGraphTest {
    private val table = JobTable()
    private var revision = 0L

    private fun id(number: Int) = "j-%06d".format(number)

    private fun spec(number: Int, awaits: List<Int>, priority: Priority = Priority.BEST_EFFORT, dueS: Double? = null) =
        JobSpec(
            id(number),
            "k",
            "red",
            priority,
            2,
            2.0,
            memoryGb = 1.0,
            image = "i",
            imageGb = 1.0,
            spot = true,
            estimateS = 10.0,
            dueS = dueS,
            dependencies = awaits.map(::id).ifEmpty { null },
        )

    /** Stores [record]; the ids of the jobs that this affects. */
    private fun put(record: JobRecord, number: Int): List<String> = table.applyJobChange(
        StoreKeys.job(id(number)),
        ReplicaEntry(encodeRecord(JobRecord.serializer(), record), ++revision),
    ).map { it.id }

    private fun submit(
        number: Int,
        vararg awaits: Int,
        priority: Priority = Priority.BEST_EFFORT,
        dueS: Double? = null,
    ) = put(
        JobRecord(
            spec(number, awaits.toList(), priority, dueS),
            listOf(TaskSpan("a", 0, 2)),
            submittedMs = 1_000L * number,
        ),
        number,
    )

    private fun end(number: Int, final: TerminalState = TerminalState.DONE) =
        put(JobRecord(terminalState = final, endedMs = 100_000L + number), number)

    private fun isReady(number: Int) = table[id(number)]!!.isReady

    private fun terminalState(number: Int) = table[id(number)]!!.terminalState

    @Test
    fun `a job is ready once all that it awaits is done, whichever comes first`() {
        submit(1)
        submit(2)
        submit(3, 1, 2)
        submit(4, 3)
        assertTrue(isReady(1) && !isReady(3) && !isReady(4))
        assertEquals(listOf(id(1)), end(1).take(1))
        assertTrue(!isReady(3))
        assertEquals(listOf(id(2), id(3)), end(2))
        assertTrue(isReady(3) && !isReady(4))
        assertEquals(100_002L, table[id(3)]!!.readyMs, "aims on waiting count from the end of the last")
        assertEquals(3_000L, submit(3, 1, 2).let { table[id(3)]!!.record!!.submittedMs })
        submit(5, 1, 2)
        assertTrue(isReady(5), "all that it names was over already")
        end(3, TerminalState.DONE)
        assertTrue(isReady(4))
    }

    @Test
    fun `the order in which a restarted controller reads the jobs does not matter`() {
        for (order in listOf(listOf(1, 2, 3, 4), listOf(4, 3, 2, 1), listOf(3, 1, 4, 2))) {
            val read = JobTable()
            fun take(number: Int, record: JobRecord) = read.applyJobChange(
                StoreKeys.job(id(number)),
                ReplicaEntry(encodeRecord(JobRecord.serializer(), record), 1),
            )
            val records = mapOf(
                1 to JobRecord(terminalState = TerminalState.CANCELLED),
                2 to JobRecord(terminalState = TerminalState.DONE, endedMs = 9),
                3 to JobRecord(spec(3, listOf(1, 2))),
                4 to JobRecord(spec(4, listOf(3))),
            )
            order.forEach { take(it, records.getValue(it)) }
            assertEquals(
                listOf(TerminalState.CANCELLED, TerminalState.DONE, TerminalState.CANCELLED, TerminalState.CANCELLED),
                (1..4).map { read[id(it)]!!.terminalState },
            )
            assertTrue(!read[id(3)]!!.isReady && !read[id(4)]!!.isReady)
        }
    }

    @Test
    fun `the order in which a restarted controller reads a chain of jobs does not matter to what they inherit`() {
        val specs = mapOf(
            1 to spec(1, emptyList()),
            2 to spec(2, listOf(1)),
            3 to spec(3, listOf(2)),
            4 to spec(4, listOf(3), Priority.HIGH, dueS = 90.0),
        )
        for (order in listOf(listOf(1, 2, 3, 4), listOf(4, 3, 2, 1), listOf(3, 1, 4, 2))) {
            val read = JobTable()
            for (number in order) {
                val value = encodeRecord(JobRecord.serializer(), JobRecord(specs.getValue(number)))
                read.applyJobChange(StoreKeys.job(id(number)), ReplicaEntry(value, 1))
            }
            val inherited = (1..3).map { read[id(it)]!!.dependencies }.map { it.inheritedPriority to it.inheritedDueMs }
            assertEquals(List(3) { Priority.HIGH to 90_000L - 14_000 * (3 - it) }, inherited)
        }
    }

    @Test
    fun `what needs a cancelled job is cancelled with it and never ready, whatever else ends`() {
        submit(1)
        submit(2)
        submit(3, 1, 2)
        submit(4, 3)
        submit(5, 2)
        assertEquals(setOf(id(1), id(2), id(3), id(4)), (end(1, TerminalState.CANCELLED) + id(2)).toSet())
        assertEquals(listOf(null, TerminalState.CANCELLED, TerminalState.CANCELLED, null), (2..5).map(::terminalState))
        end(2)
        assertTrue(!isReady(3) && !isReady(4) && isReady(5))
        submit(6, 4)
        assertEquals(TerminalState.CANCELLED, terminalState(6), "submitted after the cancellation")
        val completions =
            encodeRecord(CompletionSegmentRecord.serializer(), CompletionSegmentRecord(mapOf(id(4) to "Aw")))
        table.applyCompletionSegment(StoreKeys.completionSegment("a", "1-0"), ReplicaEntry(completions, ++revision))
        assertTrue(!table[id(4)]!!.isComplete, "it is never called done")
    }

    /** Each level of a chain would take a level of the stack otherwise. */
    @ParameterizedTest
    @ValueSource(ints = [20_000])
    fun `long chains and wide fans take no recursion and no time`(count: Int) = assertTimeout(Duration.ofSeconds(20)) {
        submit(0)
        for (number in 1..count) submit(number, number - 1)
        submit(count + 1, count, priority = Priority.HIGH, dueS = 900.0)
        assertEquals(Priority.HIGH, table[id(0)]!!.dependencies.inheritedPriority)
        assertEquals(count + 2, end(0, TerminalState.CANCELLED).size)
        assertEquals(TerminalState.CANCELLED, terminalState(count + 1))
        submit(500_000)
        for (number in 1..count) submit(500_000 + number, 500_000)
        assertEquals(count + 1, end(500_000).size)
        assertTrue(isReady(500_000 + count))
    }

    @Test
    fun `a job is as urgent as the most urgent that needs it, and only for as long`() {
        submit(1)
        submit(2, 1)
        submit(3, 2, priority = Priority.HIGH, dueS = 100.0)
        submit(4, 1, priority = Priority.NORMAL, dueS = 300.0)
        fun inherited(number: Int) = table[id(number)]!!.dependencies.let { it.inheritedPriority to it.inheritedDueMs }
        // Each step back takes the estimate of 10 s and 4 s besides.
        assertEquals(Priority.HIGH to 103_000L - 14_000, inherited(2))
        assertEquals(Priority.HIGH to 103_000L - 28_000, inherited(1))
        assertTrue(id(1) in end(3, TerminalState.CANCELLED))
        assertEquals(Priority.BEST_EFFORT to null, inherited(2).let { (it.first ?: Priority.BEST_EFFORT) to it.second })
        assertEquals(Priority.NORMAL to 304_000L - 14_000, inherited(1))
        end(4, TerminalState.CANCELLED)
        assertEquals(Priority.BEST_EFFORT to null, inherited(1))
    }

    private fun partition(
        aims: ServiceLevelObjectives = ServiceLevelObjectives(emptyMap()),
        registeredMachines: Map<String, String> = emptyMap(),
    ) = testPartition(
        listOf(unlimitedTeam("red")),
        objectives = aims,
        registeredMachines = registeredMachines,
    ) { MachineType("big", 8.0, 0.0, 64.0) }

    @Test
    fun `a partition takes up nothing of a job before it is ready, and drops it when it is cancelled with another`() {
        val partition = partition()
        submit(1)
        submit(2, 1)
        fun update(ids: List<String>) = ids.forEach { partition.updateJob(table[it]!!, inherited = false) }
        update(listOf(id(1), id(2)))
        assertEquals(listOf(id(1)), partition.jobs.map { it.id })
        assertEquals(4.0, partition.load.demand { true })
        update(end(1))
        assertEquals(listOf(id(2)), partition.jobs.map { it.id })
        submit(3)
        submit(4, 3)
        update(listOf(id(3), id(4)))
        update(end(3, TerminalState.CANCELLED))
        assertEquals(listOf(id(2)), partition.jobs.map { it.id })
    }

    /** Taken over, a job that was ready before the claim may run somewhere; one that became so afterwards can't. */
    @Test
    fun `a job that becomes ready after a claim has no unreconciled tasks, one that was before has`() {
        val partition = partition(registeredMachines = mapOf("m1" to "big"))
        submit(1)
        end(1)
        submit(2, 1)
        submit(3)
        submit(4, 3)
        for (number in listOf(2, 4)) partition.updateJob(table[id(number)]!!, inherited = true)
        end(3)
        partition.updateJob(table[id(4)]!!, inherited = false)
        assertEquals(
            listOf(0 to 2, 2 to 0),
            listOf(2, 4)
                .map { partition.job(id(it))!! }
                .map { it.pending.cardinality() to it.unreconciledTasks.cardinality() },
        )
    }

    @Test
    fun `waits are measured from the end of what was awaited, due times from the submission`() {
        val aims =
            ServiceLevelObjectives(
                mapOf("k" to listOf(ServiceLevelObjective.Started(10.0, 0.9), ServiceLevelObjective.Deadline(1.0))),
            )
        submit(1)
        submit(2, 1, dueS = 50.0)
        end(1)
        val waiting = table[id(2)]!!.let { PartitionJob(it, it.spec!!, 0) }
        // Due 52 s after the epoch, less 6 s for the estimated run; ready at 100.001 s.
        val missed = listOf(45_000L, 47_000L, 110_000L, 110_002L).map { aims.missed(waiting, it) }
        assertEquals(listOf(0, 1, 1, 2), missed)
    }

    @Test
    fun `inherited urgency orders what waits`() {
        val partition = partition(ServiceLevelObjectives(mapOf("k" to listOf(ServiceLevelObjective.Deadline(1.0)))))
        submit(1)
        submit(2)
        submit(3, 2, priority = Priority.HIGH, dueS = 60.0)
        submit(4, 3)
        for (number in 1..4) partition.updateJob(table[id(number)]!!, inherited = false)
        assertEquals(listOf(id(2), id(1)), partition.pendingJobsInOrder(10_000).map { it.id })
        assertEquals(Priority.HIGH, partition.job(id(2))!!.spec.priority)
        end(3, TerminalState.CANCELLED).forEach { partition.updateJob(table[it]!!, inherited = false) }
        assertEquals(Priority.BEST_EFFORT, partition.job(id(2))!!.spec.priority)
    }

    private fun list(count: Int) = List(count) { "j-%06d".format(it * 37) }

    private fun accepted(awaits: List<String>, limits: WriteLimits): List<KeyChange>? = JobTransitions.accept(
        JobRecord(spec(1, emptyList()).copy(dependencies = awaits), listOf(TaskSpan("a", 0, 2))),
        limits,
    )?.changes

    @Test
    fun `a long list is written in keys of its own in one transaction, and is read whole or not at all`() {
        val limits = WriteLimits(2_048, 6)
        assertEquals(1, accepted(list(20), limits)!!.size)
        assertEquals(null, accepted(list(2_000), limits))
        val changes = accepted(list(900), limits)!!
        assertTrue(changes.size in 3..6 && changes.all { it.value.toString().length <= 2_048 })
        for (order in listOf(changes, changes.reversed(), changes.shuffled(Random(3)))) {
            val read = JobTable()
            order.forEachIndexed { index, change ->
                val entry = ReplicaEntry(change.value!!, 5)
                val affected = if (change.key.startsWith(StoreKeys.JOBS)) {
                    read.applyJobChange(change.key, entry)
                } else {
                    read.applyDependencySegment(change.key, entry)
                }
                assertTrue(affected.none { it.isReady }, "not all has been read")
                if (index == order.size - 1) assertEquals(list(900).toSet(), read[id(1)]!!.dependencies.jobIds)
            }
            // Its end removes them, and does not depend on what they held.
            val ending = JobTransitions.cancel(read[id(1)]!!, 7, limits)!!.changes
            assertEquals(changes.map { it.key }.toSet(), ending.map { it.key }.toSet())
            assertEquals(
                TerminalState.CANCELLED,
                decodeRecord(JobRecord.serializer(), ending.first().value!!).terminalState,
            )
        }
    }
}
