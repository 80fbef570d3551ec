package io.otterknot.leadership

import io.otterknot.config.InvalidSettingsException
import io.otterknot.config.SettingsFile
import io.otterknot.jobs.JobTable
import io.otterknot.metrics.Metrics
import io.otterknot.ratelimit.RateLimitShare
import io.otterknot.ratelimit.RateLimiter
import io.otterknot.ratelimit.RateLimits
import io.otterknot.records.CompletionSegmentRecord
import io.otterknot.records.JobRecord
import io.otterknot.records.RecordSegments
import io.otterknot.records.StoreKeys
import io.otterknot.records.TaskBitmaps
import io.otterknot.records.TerminalState
import io.otterknot.records.encodeRecord
import io.otterknot.store.ReplicaEntry
import io.otterknot.wire.JobSpec
import io.otterknot.wire.Priority
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import java.util.BitSet

class PartitionLeadershipTest {
    /** The fence ends before the lease can, whatever the clocks' drift, counted from the sending of the renewal. */
    @Test
    fun `the fence ends before the lease`() {
        val fence = Fence(20_000)
        assertTrue(!fence.holds(0))
        fence.renewed(1_000)
        assertTrue(fence.holds(20_000))
        assertTrue(!fence.holds(20_900))
        fence.renewed(500)
        assertTrue(fence.holds(20_000), "an older renewal takes nothing back")
        fence.lost()
        assertTrue(!fence.holds(1_001))
    }

    @ParameterizedTest
    @CsvSource("10,35", "14,34", "5,60", "20,25")
    fun `a cut-off owner and its workers stop before a cancelled task must be gone`(leaseS: Double, cancelS: Double) {
        val ttl = leaseTtlMs(leaseS, cancelS)
        assertTrue(ttl >= 2_000 && ttl + leaseS * 1000 < cancelS * 1000, "$ttl")
    }

    @Test
    fun `each partition has one first claimant, its own zone's node if there is one`() {
        val domains = mapOf("n0" to "a", "n1" to "b", "n2" to "c")
        val zones = listOf("a", "b", "c", "d")
        for (zone in zones) {
            assertEquals(
                listOf(0, 1, 2),
                domains.keys.map {
                    claimRank(zone, zones, it, domains)
                }.sorted(),
            )
        }
        assertEquals(0, claimRank("b", zones, "n1", domains))
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `the budget spreads requests over time and refuses instead of waiting long`() = runTest {
        val budget = RateLimiter(10.0, 5.0, { testScheduler.currentTime })
        repeat(40) { budget.acquire() }
        assertTrue(currentTime in 3_000..3_500, "$currentTime")
        repeat(4) { budget.acquire(1) }
        assertTrue(!budget.tryAcquire(5, 200))
        assertTrue(budget.tryAcquire(1, 2_000))
    }

    /** A poll behind a long batch of completions, or a submission behind a queue of handovers, would be refused. */
    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `reads do not wait for changes, and users not for background tasks`() = runTest {
        val budget = RateLimiter(50.0, 5.0, { testScheduler.currentTime })
        repeat(4) { launch { budget.acquireSpare(4) } }
        repeat(4) { launch { budget.acquireSpare(1, lowPriority = true) } }
        // Submissions in a burst go into debt for a while.
        repeat(3) { launch { assertTrue(budget.tryAcquire(3, 5_000)) } }
        testScheduler.runCurrent()
        val before = currentTime
        budget.acquire()
        assertEquals(before, currentTime)
        delay(2_500)
        for (round in 1..6) {
            assertTrue(budget.tryAcquire(1, 600), "submission $round")
            delay(400)
        }
    }

    /** Users come in bursts: what background tasks do at any time must not make the first of them wait. */
    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `background tasks leave some changes to users`() = runTest {
        val budget = RateLimiter(1_000.0, 10.0, { testScheduler.currentTime })
        repeat(3) { launch { while (currentTime < 20_000) budget.acquireSpare(2) } }
        repeat(10) {
            delay(1_500)
            assertTrue(budget.tryAcquire(1, 0) && budget.tryAcquire(1, 0), "round $it")
        }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `a share that grows brings more and one that shrinks less, never a burst beyond it`() = runTest {
        var share = 0.2
        val budget = RateLimiter(1_000.0, 100.0, { testScheduler.currentTime }, { RateLimitShare(share, share) })
        suspend fun changesIn(ms: Long): Int {
            val until = currentTime + ms
            var count = 0
            while (currentTime < until) {
                budget.acquireSpare(1)
                count++
            }
            return count
        }
        changesIn(2_000)
        assertTrue(changesIn(2_000) in 38..42)
        share = 0.6
        assertTrue(changesIn(2_000) in 110..122)
        share = 0.05
        assertTrue(changesIn(2_000) in 8..16)
    }

    @Test
    fun `machines that come back from an owner that does not answer are counted, others are not`() {
        val misdirected = RedirectedWorkers()
        listOf("m1", "m2", "m3").forEach { misdirected.sent("a", it, 1_000, false) }
        misdirected.sent("a", "m1", 1_300, false)
        assertEquals(0, misdirected.count("a", 1_400), "it may have crossed the first answer")
        misdirected.sent("a", "m1", 2_500, false)
        misdirected.sent("a", "m2", 2_800, false)
        misdirected.sent("b", "m9", 2_800, false)
        assertEquals(2, misdirected.count("a", 3_000))
        assertEquals(0, misdirected.count("a", 9_000), "that was long ago")
        misdirected.sent("a", "m3", 20_000, false)
        assertEquals(0, misdirected.count("a", 20_100), "it was served well for a while")
        misdirected.sent("a", "m3", 21_000, false)
        misdirected.forget("a")
        assertEquals(0, misdirected.count("a", 21_100))
        listOf("m1", "m2").forEach { misdirected.sent("a", it, 30_000, true) }
        misdirected.sent("a", "new", 30_000, false)
        assertEquals(2, misdirected.left("a", 30_500), "a machine that is not registered yet looks for its owner")
        assertEquals(0, misdirected.left("a", 35_000))
    }

    /** Dropped by time, whatever their number: by number alone, few would stay for ever and many be looked at each time. */
    @ParameterizedTest
    @ValueSource(ints = [100, 6_000])
    fun `machines that were sent to their owner are remembered for some seconds`(machines: Int) {
        val misdirected = RedirectedWorkers()
        repeat(machines) { misdirected.sent("a", "m$it", 1_000, true) }
        assertEquals(machines, misdirected.left("a", 4_000))
        misdirected.sent("a", "later", 20_000, true)
        assertEquals(1, misdirected.size)
    }

    /**
     * With a fixed number, machines that hang and go on together would have a large partition claimed from a sound
     * owner.
     */
    @ParameterizedTest
    @CsvSource("6,3,3", "16,3,3", "315,5,24", "250,3,38", "470,5,36")
    fun `how many machines speak against an owner grows with its partition`(machines: Int, nodes: Int, many: Int) =
        assertEquals(many, manyMisdirected(machines, nodes))

    @Test
    fun `figures are counted and told`() {
        val figures = Metrics { 0 }
        figures.count("changes", 3)
        figures.count("changes")
        for (ms in 1L..100L) figures.recordDuration("barrier", ms)
        assertEquals("changes 4", figures.formatCounts())
        assertEquals("barrier 50, 99", figures.formatDurations())
    }

    @Test
    fun `sets of tasks are kept in chunks`() {
        val bits = BitSet().also {
            it.set(3)
            it.set(TaskBitmaps.CHUNK_TASKS - 1)
            it.set(TaskBitmaps.CHUNK_TASKS + 5)
        }
        val read = BitSet()
        for (chunk in 0..1) TaskBitmaps.decodeInto(TaskBitmaps.encode(bits, chunk), chunk, read)
        assertEquals(bits, read)
    }

    private val good = """
        label = "n0"
        domain = "a"
        bind = "127.0.0.1:8080"
        peer_listen = "127.0.0.1:8081"
        novelty = 3

        [[members]]
        label = "n1"
        domain = "b"
        endpoint = "127.0.0.1:8082"

        [endpoints]
        cloud = "127.0.0.1:1"
        state = "127.0.0.1:2"

        [facts]
        nodes = 2
        zones = ["a", "b"]

        [[facts.teams]]
        name = "t"
        cpus = 0.0
        cpus_max = 8.0

        [facts.workers]
        report_s = 0.8
        lease_s = 10.0
        cancel_s = 35.0

        [facts.state]
        rps = 150.0
        write_rps = 50.0
        value_kb = 8.0
        txn_ops = 40

        [facts.cloud]
        rps = 3.0
        list_lag_s = 4.0
    """.trimIndent()

    @Test
    fun `settings are read, unknown fields ignored`() {
        val settings = SettingsFile.parse(good)
        assertEquals(listOf("a", "b"), settings.facts.zones)
        assertEquals(8.0, settings.facts.teams.single().cpusMax)
    }

    @Test
    fun `limits that will come are read, and what they do not name stays`() {
        val state = SettingsFile.parse(
            good.replace("[facts.cloud]", "[facts.state.next]\nwrite_rps = 35.0\nvalue_kb = 2.0\n\n[facts.cloud]"),
        ).facts.state
        assertEquals(
            listOf(2.0, 35.0, 150.0, 40.0),
            listOf(state.leastValueKb, state.leastWriteRps, state.leastRps, state.leastTxnOps.toDouble()),
        )
        assertEquals(8.0, SettingsFile.parse(good).facts.state.leastValueKb)
    }

    @Test
    fun `a deployment of five is read, and its zones have one first claimant each`() {
        val more = (2..4).joinToString("") {
            "\n[[members]]\nlabel = \"n$it\"\ndomain = \"${"abc"[it % 3]}\"\nendpoint = \"127.0.0.1:900$it\"\n"
        }
        val settings = SettingsFile.parse(
            good.replace(
                "\n[endpoints]",
                "$more\n[endpoints]",
            ).replace("nodes = 2", "nodes = 5").replace("[\"a\", \"b\"]", "[\"a\", \"b\", \"c\"]"),
        )
        assertEquals(4, settings.members.size)
        val domains = settings.members.associate { it.label to it.domain } + (settings.label to settings.domain)
        for (zone in settings.facts.zones) {
            assertEquals(
                (0..4).toList(),
                domains.keys.map {
                    claimRank(zone, settings.facts.zones, it, domains)
                }.sorted(),
            )
        }
    }

    @Test
    fun `many records share few keys, and only keys that change are written`() {
        val kept = mapOf(0 to mapOf("m1" to "g", "m2" to "g"), 1 to mapOf("m3" to "g"))
        assertEquals(emptyMap<Int, Any>(), RecordSegments.redistribute(kept, emptySet(), mapOf("m2" to "g"), 2))
        assertEquals(
            mapOf(1 to mapOf("m3" to "g", "m4" to "h")),
            RecordSegments.redistribute(kept, emptySet(), mapOf("m4" to "h"), 2),
        )
        val full = RecordSegments.redistribute(kept, setOf("m3"), mapOf("m4" to "h", "m5" to "h", "m6" to "h"), 2)
        assertEquals(mapOf(1 to setOf("m4", "m5"), 2 to setOf("m6")), full.mapValues { it.value.keys })
        assertEquals(
            mapOf(1 to emptyMap<String, String>()),
            RecordSegments.redistribute(kept, setOf("m3"), emptyMap(), 2),
            "an empty one is to be removed",
        )
    }

    /** What was written when values could be larger: left alone until it changes, and then no name is ever in none. */
    @Test
    fun `a segment above the limit is split when it is next written, and what moves is elsewhere first`() {
        val large = mapOf(0 to (1..7).associate { "m$it" to "g" }, 1 to mapOf("m8" to "g"))
        assertEquals(listOf(1), RecordSegments.redistribute(large, emptySet(), mapOf("m9" to "g"), 3).keys.toList())
        val split = RecordSegments.redistribute(large, setOf("m2"), emptyMap(), 3)
        assertEquals(listOf(1, 2, 0), split.keys.toList())
        assertEquals(setOf("m1", "m3", "m4"), split.getValue(0).keys)
        assertEquals((1..8).filter { it != 2 }.map { "m$it" }.toSet(), split.values.flatMap { it.keys }.toSet())
        // Only the first of them was written: the next round drops from the large one what is there already.
        val half = RecordSegments.redistribute(large + mapOf(1 to split.getValue(1)), setOf("m2"), emptyMap(), 3)
        assertEquals(split.getValue(0), half.getValue(0))
        assertEquals(
            large.values.flatMap {
                it.keys
            }.toSet() - "m2",
            (mapOf(1 to split.getValue(1)) + half).values.flatMap { it.keys }.toSet(),
        )
    }

    /** How long so many changes of background tasks take, in whole seconds of virtual time. */
    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun TestScope.secondsFor(budget: RateLimiter, changes: Int): Long {
        val before = currentTime
        repeat(changes) { budget.acquireSpare(1) }
        return (currentTime - before) / 1000
    }

    /** A limit that nobody told of: less and less is asked until nothing is refused, and more again in time. */
    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `refusals that the known limits do not explain make a node slow down for a while`() = runTest {
        val budget = RateLimiter(100.0, 10.0, { testScheduler.currentTime }, loweredLimits = RateLimits(100.0, 10.0))
        suspend fun secondsFor(changes: Int) = secondsFor(budget, changes)
        secondsFor(10)
        repeat(2) { budget.onRateRefused() }
        budget.onRateRefused()
        secondsFor(10)
        assertEquals(2, secondsFor(20), "others may not have noticed yet")
        delay(9_000)
        repeat(6) {
            budget.onRateRefused()
            delay(2_100)
        }
        secondsFor(10)
        assertTrue(secondsFor(20) in 4..7, "about 0.4 of the rate is left")
        delay(90_000)
        secondsFor(10)
        assertEquals(2, secondsFor(20))
    }

    /** One refusal may be another node's doing; the second says that the limits are lower now. */
    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `lower limits that were told of hold once requests are refused for their rate`() = runTest {
        val budget = RateLimiter(100.0, 10.0, { testScheduler.currentTime }, loweredLimits = RateLimits(100.0, 5.0))
        suspend fun secondsFor(changes: Int) = secondsFor(budget, changes)
        secondsFor(10)
        assertEquals(3, secondsFor(30))
        budget.onRateRefused()
        delay(11_000)
        budget.onRateRefused()
        secondsFor(10)
        assertEquals(3, secondsFor(30))
        budget.onRateRefused()
        secondsFor(10)
        assertTrue(secondsFor(30) in 5..6)
    }

    @Test
    fun `completions are told once, whatever else their segment holds, and say nothing of jobs that are over`() {
        val table = JobTable()
        val spec =
            JobSpec("j-1", "k", "t", Priority.HIGH, 4, 1.0, memoryGb = 1.0, image = "i", imageGb = 1.0, estimateS = 1.0)
        fun job(id: String, final: TerminalState?) = table.applyJobChange(
            StoreKeys.job(id),
            ReplicaEntry(
                encodeRecord(
                    JobRecord.serializer(),
                    JobRecord(
                        spec.copy(id = id).takeIf {
                            final ==
                                null
                        },
                        terminalState = final,
                    ),
                ),
                1,
            ),
        )
        fun segment(bits: Map<String, String>) = table.applyCompletionSegment(
            StoreKeys.completionSegment("a", "7-0"),
            ReplicaEntry(encodeRecord(CompletionSegmentRecord.serializer(), CompletionSegmentRecord(bits)), 2),
        ).map {
            it.id
        }
        job("j-1", null)
        job("j-2", null)
        assertEquals(listOf("j-1"), segment(mapOf("j-1" to "Aw")))
        assertEquals(listOf("j-2"), segment(mapOf("j-1" to "Aw", "j-2" to "DA")))
        assertEquals(listOf(2, 2), listOf("j-1", "j-2").map { table[it]!!.completedTasks.cardinality() })
        job("j-1", TerminalState.CANCELLED)
        assertTrue(!table.isBitmapNeeded("j-1") && table.isBitmapNeeded("j-2") && table.isBitmapNeeded("j-3.1"))
        assertEquals(listOf("j-2"), segment(mapOf("j-1" to "Dw", "j-2" to "Dw")))
        assertTrue(table["j-2"]!!.isComplete)
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            "label = \"n0\"|",
            "bind = \"127.0.0.1:8080\"|bind = \"nowhere\"",
            "zones = [\"a\", \"b\"]|zones = []",
            "cancel_s = 35.0|cancel_s = 12.0",
            "rps = 150.0|rps = 0.0",
            "txn_ops = 40|txn_ops = \"many\"",
            "[facts.cloud]|[facts.state.next]\\ntxn_ops = 3\\n\\n[facts.cloud]",
            "[facts.cloud]|[facts.state.next]\\nvalue_kb = 0.5\\n\\n[facts.cloud]",
            "[facts.cloud]|[facts.state.next]\\nwrite_rps = 0.0\\n\\n[facts.cloud]",
            "endpoint = \"127.0.0.1:8082\"|endpoint = \"127.0.0.1:x\"",
            "[endpoints]|[elsewhere]",
        ],
    )
    fun `a bad setting stops the start with one line`(from: String, to: String?) {
        val bad = good.replace(from, to.orEmpty().replace("\\n", "\n"))
        assertTrue(bad != good)
        val refused = assertThrows(InvalidSettingsException::class.java) { SettingsFile.parse(bad) }
        assertEquals(1, refused.message!!.lines().size)
    }
}
