package io.otterknot.scheduling

import io.otterknot.records.TaskSpan
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class PartitionChooserTest {
    @Test
    fun `partition with an announced idle machine is chosen first and its idle count is decremented`() {
        val partitions = partitionViews(0.9, 0.1, 0.1)
        partitions[0].idleMachines = 1
        assertEquals("z0", PartitionChooser.choose(partitions, jobSpec(1), Random(3)).zone)
        assertEquals(0, partitions[0].idleMachines)
    }

    @Test
    fun `partition with the lower mean load is chosen of two`() {
        repeat(20) { seed ->
            assertEquals("z1", PartitionChooser.choose(partitionViews(0.9, 0.1), jobSpec(1), Random(seed)).zone)
        }
    }

    @Test
    fun `tasks of a large job are distributed roughly evenly over all partitions`() {
        val spans = PartitionChooser.distribute(jobSpec(300), partitionViews(0.0, 0.0, 0.0), Random(5))
        val taskCounts = spans.map { it.until - it.from }
        assertEquals(300, taskCounts.sum())
        assertEquals(3, spans.size, "$spans")
        assertTrue(taskCounts.all { it in 60..140 }, "$spans")
    }

    @Test
    fun `tasks of a job that requires a single zone are placed in one partition`() {
        val spec = jobSpec(30, sameZone = true)
        assertEquals(1, PartitionChooser.distribute(spec, partitionViews(0.0, 0.0), Random(1)).size)
    }

    @Test
    fun `tasks of a job with a given zone are placed in the partition of that zone`() {
        val spec = jobSpec(30, zone = "z1")
        val spans = PartitionChooser.distribute(spec, partitionViews(0.0, 0.0), Random(1))
        assertEquals(listOf(TaskSpan("z1", 0, 30)), spans)
    }

    /** Creates partitions `z0`, `z1`, ... of 64 cores each with the given mean loads. */
    private fun partitionViews(vararg meanLoads: Double) = meanLoads.mapIndexed { index, meanLoad ->
        PartitionView("z$index").apply {
            mean = meanLoad
            cores = 64.0
        }
    }
}
