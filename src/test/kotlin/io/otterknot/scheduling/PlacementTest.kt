package io.otterknot.scheduling

import io.otterknot.jobs.Job
import io.otterknot.partition.HeartbeatHistory
import io.otterknot.records.JobRecord
import io.otterknot.records.TaskSpan
import io.otterknot.records.TaskSpans
import io.otterknot.testing.applyRecord
import io.otterknot.wire.JobSpec
import io.otterknot.wire.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.util.BitSet
import kotlin.random.Random

class PlacementTest {
    private fun place(load: Double, drift: Double, idle: Boolean = false) = PlacementTarget(load, drift, idle)

    /**
     * Two places: load and drift of each, the share of the task; who takes it, and load and drift of the taker after.
     */
    @ParameterizedTest
    @CsvSource(
        // The lighter one's drift is below the load gap: it wins and only its drift grows.
        "0.2,0.0, 0.6,0.0, 0.25, 1, 0.2, 0.25",
        "0.6,0.0, 0.2,0.3, 0.25, 2, 0.2, 0.55",
        // The drift has eaten the gap: the lower sum wins, is stored with the share, and its drift ends.
        "0.2,0.5, 0.6,0.0, 0.25, 2, 0.85, 0.0",
        "0.5,0.1, 0.5,0.0, 0.25, 2, 0.75, 0.0",
        "0.3,0.2, 0.4,0.3, 0.10, 1, 0.6, 0.0",
    )
    fun `two samples are weighed by load and drift`(
        l1: Double,
        d1: Double,
        l2: Double,
        d2: Double,
        share: Double,
        taker: Int,
        load: Double,
        drift: Double,
    ) {
        for (seed in 1L..8L) {
            val places = listOf(place(l1, d1), place(l2, d2))
            val taken = PlacementCandidates(places) { true }.choose(Random(seed)) { share }
            assertEquals(places[taker - 1], taken)
            assertEquals(load, taken!!.load, 1e-9)
            assertEquals(drift, taken.drift, 1e-9)
        }
    }

    /** With 6,000 machines more than 4,096 are let go within minutes; a copy of a report may be as late as that. */
    @ParameterizedTest
    @CsvSource("10,4096", "6000,48000")
    fun `how many machines that were let go are remembered grows with the partition`(machines: Int, kept: Int) {
        val lastSeen = HeartbeatHistory { machines }
        repeat(50_000) { lastSeen.recordGone("m$it") }
        assertEquals(kept, lastSeen.size)
    }

    @Test
    fun `an idle place comes first, one fit is taken, none waits`() {
        val idle = place(0.0, 0.0, idle = true)
        assertEquals(
            idle,
            PlacementCandidates(listOf(place(0.0, 0.0), idle, place(0.1, 0.0))) {
                true
            }.choose(Random(1)) { 0.5 },
        )
        assertEquals(false, idle.idle)
        assertEquals(0.5, idle.load)
        val only = place(0.9, 0.05)
        assertEquals(only, PlacementCandidates(listOf(only)) { true }.choose(Random(1)) { 0.05 })
        assertEquals(null, PlacementCandidates(emptyList<PlacementTarget>()) { true }.choose(Random(1)) { 0.1 })
        only.reported(0.4, false)
        assertEquals(listOf(0.4, 0.0), listOf(only.load, only.drift))
    }

    @Test
    fun `places that do not fit any more are passed over, each other one as likely as before`() {
        val places = List(5) { place(0.5, 0.0) }
        val full = HashSet<PlacementTarget>()
        val taken = HashMap<Int, Int>()
        repeat(400) { seed ->
            full.clear()
            val candidates = PlacementCandidates(places) { it !in full }
            full.add(places[seed % 5])
            places.forEach { it.reported(0.5, false) }
            val chosen = candidates.choose(Random(seed)) { 0.1 }!!
            assertTrue(chosen !in full)
            taken.merge(places.indexOf(chosen), 1, Int::plus)
            full.addAll(places)
            assertEquals(null, candidates.choose(Random(seed)) { 0.1 })
        }
        assertTrue(taken.values.all { it in 50..110 }, "$taken")
    }

    private fun spec(tasks: Int, oneZone: Boolean = false, zone: String? = null, spot: Boolean = true) = JobSpec(
        id = "j-000001",
        jobClass = "k",
        team = "t",
        priority = Priority.HIGH,
        tasks = tasks,
        cores = 2.0,
        memoryGb = 4.0,
        image = "i",
        imageGb = 1.0,
        zone = zone,
        sameZone = oneZone,
        spot = spot,
        estimateS = 10.0,
        dueS = 60.0,
    )

    private fun views(vararg means: Double) = means.mapIndexed { index, mean ->
        PartitionView("z$index").also {
            it.mean = mean
            it.cores = 64.0
        }
    }

    @Test
    fun `partitions are chosen like machines`() {
        val announced = views(0.9, 0.1, 0.1).also { it[0].idleMachines = 1 }
        assertEquals("z0", PartitionChooser.choose(announced, spec(1), Random(3)).zone)
        assertEquals(0, announced[0].idleMachines)
        repeat(20) { assertEquals("z1", PartitionChooser.choose(views(0.9, 0.1), spec(1), Random(it)).zone) }
        val spans = PartitionChooser.deal(spec(300), views(0.0, 0.0, 0.0), Random(5))
        assertEquals(300, spans.sumOf { it.until - it.from })
        assertTrue(spans.size == 3 && spans.all { it.until - it.from in 60..140 }, "$spans")
        assertEquals(1, PartitionChooser.deal(spec(30, oneZone = true), views(0.0, 0.0), Random(1)).size)
        assertEquals(
            listOf(TaskSpan("z1", 0, 30)),
            PartitionChooser.deal(spec(30, zone = "z1"), views(0.0, 0.0), Random(1)),
        )
    }

    @Test
    fun `moved tasks change hands and nothing else does`() {
        val tasks = BitSet().also {
            it.set(2, 4)
            it.set(7)
        }
        val before = listOf(TaskSpan("a", 0, 5), TaskSpan("b", 5, 9))
        val after = TaskSpans.reassign(before, tasks, "c")
        assertEquals(
            listOf(
                TaskSpan("a", 0, 2),
                TaskSpan("c", 2, 4),
                TaskSpan("a", 4, 5),
                TaskSpan("b", 5, 7),
                TaskSpan("c", 7, 8),
                TaskSpan("b", 8, 9),
            ),
            after,
        )
        assertEquals(listOf(TaskSpan("a", 0, 9)), TaskSpans.reassign(after, BitSet().also { it.set(0, 9) }, "a"))
    }

    private fun waiting(spec: JobSpec, submittedMs: Long) =
        PartitionJob(Job(spec.id).also { it.applyRecord(JobRecord(spec, submittedMs = submittedMs)) }, spec, 0)

    @ParameterizedTest
    @CsvSource("1,0", "9,1", "25,2", "53,2", "56,4", "70,4", "95,5")
    fun `missed aims are counted by age`(ageS: Long, missed: Int) {
        val aims = ServiceLevelObjectives(
            mapOf(
                "k" to
                    listOf(
                        ServiceLevelObjective.Started(8.0, 0.9),
                        ServiceLevelObjective.Started(20.0, 0.9),
                        ServiceLevelObjective.Finished(60.0),
                        ServiceLevelObjective.Deadline(1.0),
                        ServiceLevelObjective.Deadline(1.5),
                    ),
            ),
        )
        assertEquals(missed, aims.missed(waiting(spec(1), 0), ageS * 1000))
        assertEquals(0, aims.missed(waiting(spec(1).copy(jobClass = "other"), 0), 1_000_000))
        assertEquals(0.9, aims.readyShare(spec(1), 30.0))
        assertEquals(0.0, aims.readyShare(spec(1), 5.0))
    }

    /** By missed aims alone, what was late once would wait behind all that is new until it is late for good. */
    @Test
    fun `what is about to miss an aim goes first, what has none left last, and the least work before more`() {
        val aims =
            ServiceLevelObjectives(
                mapOf("k" to listOf(ServiceLevelObjective.Deadline(1.0), ServiceLevelObjective.Started(180.0, 0.9))),
            )
        fun job(name: String, tasks: Int, ageS: Long, kind: String = "k") = waiting(
            spec(tasks).copy(id = name, jobClass = kind, dueS = 70.0, estimateS = 20.0),
            (1_000 - ageS) * 1_000,
        ).also {
            it.pending.set(0, tasks)
        }
        val jobs = listOf(
            job("late for good", 1, 200),
            job("late once", 2, 100),
            job("late once, soon twice", 50, 160),
            job("new", 9, 1),
            job("soon late", 30, 40),
            job("new and large", 90, 2),
            job("of a class without aims", 7, 300, "other"),
        )
        val order = SchedulingQueue(aims) { it }.sorted(jobs, 1_000_000).map { it.id }
        assertEquals(
            listOf(
                "soon late",
                "late once, soon twice",
                "of a class without aims",
                "new",
                "new and large",
                "late once",
                "late for good",
            ),
            order,
        )
    }
}
