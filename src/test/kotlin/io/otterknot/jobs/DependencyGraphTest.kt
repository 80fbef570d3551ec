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

/** When jobs with dependencies are ready or cancelled and what jobs inherit, as derived from the replica alone. */
class DependencyGraphTest {
    private val table = JobTable()
    private var revision = 0L

    private fun id(number: Int) = "j-%06d".format(number)

    private fun spec(
        number: Int,
        dependencies: List<Int>,
        priority: Priority = Priority.BEST_EFFORT,
        dueS: Double? = null,
    ) = JobSpec(
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
        dependencies = dependencies.map(::id).ifEmpty { null },
    )

    /** Stores [record] and returns the ids of the jobs that this affects. */
    private fun put(record: JobRecord, number: Int): List<String> = table.applyJobChange(
        StoreKeys.job(id(number)),
        ReplicaEntry(encodeRecord(JobRecord.serializer(), record), ++revision),
    ).map { it.id }

    private fun submit(
        number: Int,
        vararg dependencies: Int,
        priority: Priority = Priority.BEST_EFFORT,
        dueS: Double? = null,
    ) = put(
        JobRecord(
            spec(number, dependencies.toList(), priority, dueS),
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
    fun `a job is ready once all its dependencies are done, before or after its submission`() {
        submit(1)
        submit(2)
        submit(3, 1, 2)
        submit(4, 3)
        assertTrue(isReady(1) && !isReady(3) && !isReady(4))
        assertEquals(listOf(id(1)), end(1).take(1))
        assertTrue(!isReady(3))
        assertEquals(listOf(id(2), id(3)), end(2))
        assertTrue(isReady(3) && !isReady(4))
        assertEquals(100_002L, table[id(3)]!!.readyMs, "waiting time counts from the end of the last dependency")
        assertEquals(3_000L, submit(3, 1, 2).let { table[id(3)]!!.record!!.submittedMs })
        submit(5, 1, 2)
        assertTrue(isReady(5), "all its dependencies were done before it was submitted")
        end(3, TerminalState.DONE)
        assertTrue(isReady(4))
    }

    @Test
    fun `the order in which a restarted controller reads the jobs does not matter`() {
        for (order in listOf(listOf(1, 2, 3, 4), listOf(4, 3, 2, 1), listOf(3, 1, 4, 2))) {
            val read = JobTable()
            fun applyRecord(number: Int, record: JobRecord) = read.applyJobChange(
                StoreKeys.job(id(number)),
                ReplicaEntry(encodeRecord(JobRecord.serializer(), record), 1),
            )
            val records = mapOf(
                1 to JobRecord(terminalState = TerminalState.CANCELLED),
                2 to JobRecord(terminalState = TerminalState.DONE, endedMs = 9),
                3 to JobRecord(spec(3, listOf(1, 2))),
                4 to JobRecord(spec(4, listOf(3))),
            )
            order.forEach { applyRecord(it, records.getValue(it)) }
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
    fun `jobs that depend on a cancelled job are cancelled with it and are never ready`() {
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
        assertEquals(TerminalState.CANCELLED, terminalState(6), "submitted after its dependency was cancelled")
        val completions =
            encodeRecord(CompletionSegmentRecord.serializer(), CompletionSegmentRecord(mapOf(id(4) to "Aw")))
        table.applyCompletionSegment(StoreKeys.completionSegment("a", "1-0"), ReplicaEntry(completions, ++revision))
        assertTrue(!table[id(4)]!!.isComplete, "a cancelled job must not become complete")
    }

    /** A recursive traversal would overflow the stack on a long chain. */
    @ParameterizedTest
    @ValueSource(ints = [20_000])
    fun `long chains and wide fan-out need little stack and time`(count: Int) = assertTimeout(Duration.ofSeconds(20)) {
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
    fun `a job inherits the urgency of its most urgent dependent until that dependent ends`() {
        submit(1)
        submit(2, 1)
        submit(3, 2, priority = Priority.HIGH, dueS = 100.0)
        submit(4, 1, priority = Priority.NORMAL, dueS = 300.0)
        fun inherited(number: Int) = table[id(number)]!!.dependencies.let { it.inheritedPriority to it.inheritedDueMs }
        // Each dependency is due earlier than its dependent by the estimate of 10 s and the handoff of 4 s.
        assertEquals(Priority.HIGH to 103_000L - 14_000, inherited(2))
        assertEquals(Priority.HIGH to 103_000L - 28_000, inherited(1))
        assertTrue(id(1) in end(3, TerminalState.CANCELLED))
        assertEquals(Priority.BEST_EFFORT to null, inherited(2).let { (it.first ?: Priority.BEST_EFFORT) to it.second })
        assertEquals(Priority.NORMAL to 304_000L - 14_000, inherited(1))
        end(4, TerminalState.CANCELLED)
        assertEquals(Priority.BEST_EFFORT to null, inherited(1))
    }

    private fun partition(
        objectives: ServiceLevelObjectives = ServiceLevelObjectives(emptyMap()),
        registeredMachines: Map<String, String> = emptyMap(),
    ) = testPartition(
        listOf(unlimitedTeam("red")),
        objectives = objectives,
        registeredMachines = registeredMachines,
    ) { MachineType("big", 8.0, 0.0, 64.0) }

    @Test
    fun `a partition ignores a job until it is ready and drops a job cancelled with its dependency`() {
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

    /** After a failover, tasks of a job that was ready before the acquisition may already run; later ones cannot. */
    @Test
    fun `a job that was ready before an acquisition is unreconciled, one that becomes ready later is pending`() {
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
                .map { it.pending.count to it.unreconciledTasks.cardinality() },
        )
    }

    @Test
    fun `waiting time is measured from the end of the dependencies and due times from the submission`() {
        val objectives =
            ServiceLevelObjectives(
                mapOf("k" to listOf(ServiceLevelObjective.Started(10.0, 0.9), ServiceLevelObjective.Deadline(1.0))),
            )
        submit(1)
        submit(2, 1, dueS = 50.0)
        end(1)
        val waiting = table[id(2)]!!.let { PartitionJob(it, it.spec!!, 0) }
        // Due 52 s after the epoch, less 6 s for the estimated run; ready 100.001 s after the epoch.
        val missed = listOf(45_000L, 47_000L, 110_000L, 110_002L).map { objectives.missed(waiting, it) }
        assertEquals(listOf(0, 1, 1, 2), missed)
    }

    @Test
    fun `pending jobs are ordered by inherited urgency`() {
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

    private fun accepted(dependencies: List<String>, limits: WriteLimits): List<KeyChange>? = JobTransitions.accept(
        JobRecord(spec(1, emptyList()).copy(dependencies = dependencies), listOf(TaskSpan("a", 0, 2))),
        limits,
    )?.changes

    @Test
    fun `a long dependency list is written to segments in one transaction and used only when read completely`() {
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
                assertTrue(affected.none { it.isReady }, "not all segments of the dependency list have been read yet")
                if (index == order.size - 1) assertEquals(list(900).toSet(), read[id(1)]!!.dependencies.jobIds)
            }
            // The end of the job removes its dependency segments, whatever they contain.
            val cancellation = JobTransitions.cancel(read[id(1)]!!, 7, limits)!!.changes
            assertEquals(changes.map { it.key }.toSet(), cancellation.map { it.key }.toSet())
            assertEquals(
                TerminalState.CANCELLED,
                decodeRecord(JobRecord.serializer(), cancellation.first().value!!).terminalState,
            )
        }
    }
}
