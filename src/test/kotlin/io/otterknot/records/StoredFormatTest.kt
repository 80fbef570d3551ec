package io.otterknot.records

import io.otterknot.jobs.Job
import io.otterknot.jobs.JobTable
import io.otterknot.jobs.JobTransitions
import io.otterknot.peer.PeerCodec
import io.otterknot.peer.PeerMessage
import io.otterknot.store.ReplicaEntry
import io.otterknot.store.WriteLimits
import io.otterknot.testing.ProductionVersionTransport
import io.otterknot.testing.applyRecord
import io.otterknot.wire.JobSpec
import io.otterknot.wire.Priority
import io.otterknot.wire.WireJson
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet

/** Compatibility with the production version: this version reads its records, and it can read those of this version. */
class StoredFormatTest {
    private fun json(text: String): JsonElement = WireJson.parseToJsonElement(text)

    private val productionJob = json(
        """{"s":{"Uid":"j-000412","Ilk":"train","Crew":"red","Rank":"high","Chores":16,"Cores":8.0,""" +
            """"Cards":0.0,"MemoryGb":64.0,"Pelt":"img-07","SizeGb":6.2,"SamePlace":false,"Scatter":false,""" +
            """"Driftwood":true,"GuessS":240.0,"CacheS":0.0,"StashS":0.0,"DueS":900.0},""" +
            """"a":[{"z":"a","f":0,"u":10},{"z":"b","f":10,"u":16}],"t":1700000000000,"n":"1x2y","c":0}""",
    )

    @Test
    fun `records of the production version are read and written back unchanged`() {
        val job = decodeRecord(JobRecord.serializer(), productionJob)
        assertEquals(
            listOf("j-000412", 16, null, null, null),
            listOf(job.spec!!.id, job.spec!!.tasks, job.spec!!.dependencies, job.dependencySegments, job.endedMs),
        )
        assertEquals("a", job.homeZone)
        assertEquals(
            productionJob,
            encodeRecord(JobRecord.serializer(), job),
            "rewriting a job without dependencies adds no new field",
        )
        val final = decodeRecord(JobRecord.serializer(), json("""{"a":[],"t":0,"x":"d","c":16}"""))
        assertEquals(listOf(TerminalState.DONE, 16, null), listOf(final.terminalState, final.taskCount, final.endedMs))
        assertEquals(
            CompletionSegmentRecord(mapOf("j-000412" to "Aw")),
            decodeRecord(CompletionSegmentRecord.serializer(), json("""{"d":{"j-000412":"Aw"}}""")),
        )
        for ((text, serializer) in listOf(
            """{"m":{"m-000001":"big"}}""" to MachineSegmentRecord.serializer(),
            """{"o":"holt-0","i":"3k"}""" to LeaderRecord.serializer(),
            """{"m":0.5,"c":64.0,"om":0.25,"oc":16.0,"n":{"red":{"c":3.0,"g":0.0}}}""" to
                PartitionLoadRecord.serializer(),
            """{"z":{"a":{"c":4.0,"g":0.0},"b":{"c":8.0,"g":0.0}}}""" to QuotaSharesRecord.serializer(),
        )) {
            @Suppress("UNCHECKED_CAST")
            val recordSerializer = serializer as KSerializer<Any>
            assertEquals(json(text), encodeRecord(recordSerializer, decodeRecord(recordSerializer, json(text))))
        }
        assertEquals(
            QuotaAmount(12.0),
            decodeRecord(
                QuotaSharesRecord.serializer(),
                json("""{"z":{"a":{"c":4.0,"g":0.0},"b":{"c":8.0,"g":0.0}}}"""),
            ).byZone.values.reduce(QuotaAmount::plus),
        )
    }

    /** The production version drops unknown fields, so none of the values that it needs may be in such a field. */
    @Test
    fun `the production version reads current records as it expects, apart from unknown fields`() {
        val job = Job("j-000412").also { it.applyRecord(decodeRecord(JobRecord.serializer(), productionJob)) }
        job.completedTasks.set(0, job.spec!!.tasks)
        val terminalChange = JobTransitions.finish(job, 5_000, WriteLimits(2_048, 6))!!.changes.single()
        assertEquals(
            json("""{"a":[],"t":0,"x":"d","c":16}"""),
            ProductionVersionTransport.record(terminalChange.key, terminalChange.value!!),
        )
        val waiting = JobRecord(
            JobSpec(
                "j-1", "k", "red", Priority.HIGH, 2, 1.0, memoryGb = 1.0, image = "i", imageGb = 1.0, estimateS = 1.0,
                dependencies = listOf("j-2"),
            ),
            listOf(TaskSpan("a", 0, 2)),
            dependencySegments = 2,
        )
        val read = ProductionVersionTransport.record(
            StoreKeys.job("j-1"),
            encodeRecord(JobRecord.serializer(), waiting),
        ).jsonObject
        assertTrue("w" !in read && "Awaits" !in read.getValue("s").jsonObject)
        assertEquals(
            waiting.copy(spec = waiting.spec!!.copy(dependencies = null), dependencySegments = null),
            decodeRecord(JobRecord.serializer(), read),
        )
    }

    /** With chunks of the usual size, a single chunk of a large job could exceed a value of 2 KiB. */
    @Test
    fun `completions of a large job are kept in small chunks, next to those that the production version reads`() {
        val tasks = BitSet().also {
            it.set(0, 100)
            it.set(16_000)
            it.set(90_001)
        }
        assertEquals(TaskBitmaps.FINE_CHUNK_TASKS, TaskBitmaps.chunkSize(100_000))
        val size = TaskBitmaps.FINE_CHUNK_TASKS
        val fine = (0..90_001 / size).associate {
            TaskBitmaps.chunkName("j-1", it) to
                TaskBitmaps.encode(tasks, it, size)
        }
        assertTrue(fine.values.all { it.length <= 700 })
        val table = JobTable()
        val record = CompletionSegmentRecord(mapOf("j-2" to "Aw"), fine)
        val value = encodeRecord(CompletionSegmentRecord.serializer(), record)
        assertEquals(
            setOf("j-1", "j-2"),
            table.applyCompletionSegment(StoreKeys.completionSegment("a", "7-0"), ReplicaEntry(value, 1))
                .map { it.id }.toSet(),
        )
        val specOnly = JobRecord(decodeRecord(JobRecord.serializer(), productionJob).spec)
        for (id in listOf("j-1", "j-2")) {
            val entry = ReplicaEntry(encodeRecord(JobRecord.serializer(), specOnly), 2)
            table.applyJobChange(StoreKeys.job(id), entry)
        }
        assertEquals(tasks, table["j-1"]!!.completedTasks)
        assertEquals(
            CompletionSegmentRecord(mapOf("j-2" to "Aw")),
            decodeRecord(CompletionSegmentRecord.serializer(), ProductionVersionTransport.record("o/d/a/7-0", value)),
        )
    }

    @Test
    fun `frames between controllers equal those of the production version byte for byte`() {
        fun hex(bytes: ByteArray) = bytes.joinToString("") { "%02x".format(it) }
        for ((message, frame) in listOf(
            PeerMessage.IdlePartitionQuery to "0000000101",
            PeerMessage.IdlePartitionAnnouncement("a", 7, 3) to "0000001002000161000000000000000700000003",
            PeerMessage.IdleAnnouncementWithdrawn("a", 7) to "0000000c030001610000000000000007",
            PeerMessage.IdlePartitionCount(2, true) to "00000006040000000201",
            PeerMessage.TransferLeadership("a", 0) to "000000080700016100000000",
        )) {
            assertEquals(frame, hex(PeerCodec.encode(message)))
            assertEquals(message, PeerCodec.decode(PeerCodec.encode(message).drop(4).toByteArray()))
        }
    }
}
