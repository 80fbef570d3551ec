package io.otterknot.controller

import io.otterknot.jobs.Job
import io.otterknot.partition.TeamQuota
import io.otterknot.records.JobRecord
import io.otterknot.records.PartitionLoadRecord
import io.otterknot.records.PressureRecord
import io.otterknot.records.QuotaAmount
import io.otterknot.records.TaskSpan
import io.otterknot.records.TeamPressureRecord
import io.otterknot.records.decodeRecord
import io.otterknot.store.WriteLimits
import io.otterknot.testing.StoreFixture
import io.otterknot.testing.applyRecord
import io.otterknot.testing.smallJob
import io.otterknot.testing.testPartition
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class PartitionLoadPublisherTest {
    /** Guards against a load that is refused, and so never published, because its value names too many teams. */
    @ParameterizedTest
    @CsvSource("3,true,true", "60,true,false", "1000,false,false")
    fun `a load names only as many teams as a value may hold`(teams: Int, hasAllNeeds: Boolean, hasPressure: Boolean) =
        runTest {
            val limits = WriteLimits(4_000, 40)
            val names = List(teams) { "team-%04d".format(it) }
            val partition = testPartition(names.map { TeamQuota(it, 1.0, QuotaAmount(0.5, 0.0)) }) { null }
            for ((number, team) in names.withIndex()) {
                val spec = smallJob("j-$number", tasks = 1 + number).copy(team = team)
                val job = Job(spec.id).also { it.applyRecord(JobRecord(spec, listOf(TaskSpan("a", 0, spec.tasks)))) }
                partition.updateJob(job, inherited = false)
            }
            val pressure = PressureRecord(names.associateWith { TeamPressureRecord(cores = 1.0) })
            val publisher = PartitionLoadPublisher(StoreFixture(this).replica, names, limits, { 10_000L }, { pressure })
            val write = publisher.writes(partition).single()
            val value = checkNotNull(write.value)
            assertTrue(write.valueBytes <= limits.maxValueBytes)
            val record = decodeRecord(PartitionLoadRecord.serializer(), value)
            assertEquals(hasAllNeeds, record.quotaNeeds.size == teams)
            assertEquals(hasPressure, record.pressure != null)
            val isFull = write.valueBytes > limits.maxValueBytes - NEED_BYTES
            assertEquals(!hasAllNeeds, isFull, "${write.valueBytes} bytes")
            assertTrue(names.last() in record.quotaNeeds)
        }

    private companion object {
        /** More than the need of one team takes in the value. */
        const val NEED_BYTES = 60
    }
}
