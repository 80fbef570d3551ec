package io.otterknot.cluster

import io.otterknot.config.AnnouncedStoreLimits
import io.otterknot.testing.ClusterScenario
import io.otterknot.testing.SimulatedCluster
import io.otterknot.wire.Priority
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Pipelines, lowered limits and two versions side by side, with the troubles that they meet. */
class DependencyScenarioTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `no job starts too early, none is left an orphan, and every job ends`(case: ClusterScenario) = case.play()

    companion object {
        private fun SimulatedCluster.job(id: Int, tasks: Int, runS: Double, vararg awaits: Int, last: Boolean = false) =
            spec(
                id,
                tasks,
                runS,
                if (last) "urgent" else "bulk",
                if (last) Priority.HIGH else Priority.BEST_EFFORT,
                cores = 1.0,
            )
                .copy(
                    dependencies = awaits.map {
                        "j-%06d".format(it)
                    }.ifEmpty { null },
                    dueS = if (last) 60.0 else null,
                    sameZone = false,
                    spreadAcrossZones = false,
                )

        /**
         * A first job, a fan of so many after it, one that needs half of these and one that needs all and the first.
         */
        private fun SimulatedCluster.pipeline(
            base: Int,
            fan: Int = 3,
            runS: Double = 4.0,
            cancelFirstMs: Long? = null,
        ) {
            user(job(base, 2, runS), cancelFirstMs)
            for (at in 1..fan) user(job(base + at, 1 + at % 3, runS, base))
            user(job(base + fan + 1, 2, runS, *IntArray((fan + 1) / 2) { base + 1 + it }))
            user(job(base + fan + 2, 1, 2.0, base, base + fan + 1, *IntArray(fan) { base + 1 + it }, last = true))
        }

        private suspend fun SimulatedCluster.pipelines(count: Int, everyMs: Long = 1_500) = repeat(count) {
            pipeline(1_000 + it * 20, cancelFirstMs = if (it % 3 == 2) random.nextLong(9_000) else null)
            delay(everyMs)
        }

        private fun gaps() = listOf(200L, 1_500L, 9_000L).map { apart ->
            ClusterScenario(
                "the first of a pipeline is called off, the leader refused alone, then the state service out: $apart ms apart",
                seeds = 1,
                mixture = false,
            ) {
                for (at in 0..5) pipeline(1_000 + at * 20, runS = 60.0)
                delay(8_000)
                state.refusedFor = "holt-a"
                cancelNow(4)
                delay(apart)
                state.outage(true)
                delay(50_000)
                state.refusedFor = null
                state.outage(false)
            }
        }

        private val lower = AnnouncedStoreLimits(writeRps = 40.0, valueKb = 2.0, txnOps = 6)

        private fun SimulatedCluster.lowerLimits() {
            state.maxValueBytes = 2_048
            state.maxOps = 6
            state.maxWritesPerS = 40.0
        }

        private fun SimulatedCluster.nothingTooLarge() {
            if (state.tooLarge.isNotEmpty()) broken.add("refused for size: ${state.tooLarge}")
        }

        /**
         * Nothing in the settings tells of these limits: only refusals do, and nothing may be lost or held up by them.
         */
        private fun unannounced() = listOf("before", "while", "after").map { moment ->
            ClusterScenario("limits that nobody announced hold from $moment the upgrade on", seeds = 1) {
                fun lower() {
                    state.maxValueBytes = 1_100
                    state.maxOps = 3
                }
                old.addAll(nodes)
                nodes.forEach(::restart)
                for (zone in zones) repeat(45) { boot(zone, spot = it % 2 == 0) }
                delay(6_000)
                if (moment == "before") lower()
                for (node in nodes) {
                    crash(node)
                    old.remove(node)
                    delay(3_000)
                    startNode(node)
                    delay(2_000)
                    if (moment == "while" && node == nodes[1]) lower()
                }
                scope.launch { pipelines(4, 1_500) }
                pipeline(5_000, fan = 110, runS = 2.0)
                for (id in 301..320) user(spec(id, 20, 5.0))
                delay(4_000)
                if (moment == "after") lower()
                machines().take(20).forEach(::take)
                for (id in 321..340) user(spec(id, 20, 5.0), if (id % 4 == 0) 3_000 else null)
                delay(20_000)
            }
        }

        @JvmStatic
        fun cases() = gaps() + unannounced() + listOf(
            ClusterScenario("pipelines, some called off", mixture = false) { pipelines(8) },
            ClusterScenario("a chain of thirty and a fan of fifty", seeds = 1, mixture = false) {
                user(job(2_000, 1, 0.5))
                for (at in 1..30) user(job(2_000 + at, 1, 0.5, 2_000 + at - 1, last = at == 30))
                pipeline(3_000, fan = 50, runS = 2.0)
                user(job(4_000, 1, 30.0))
                for (at in 1..50) user(job(4_000 + at, 1, 1.0, if (at % 2 == 0) 4_000 else 4_000 + at - 1))
                delay(9_000)
                cancel(job(4_000, 1, 30.0))
                delay(5_000)
            },
            ClusterScenario(
                "a fan of five hundred, and layers that share their ancestors, cancelled in the middle",
                seeds = 1,
            ) {
                user(job(10_000, 1, 8.0))
                for (at in 1..500) user(job(10_000 + at, 1, 0.5, 10_000))
                // Each job of a layer awaits all of the layer before it.
                for (layer in 0..5) {
                    val before = if (layer == 0) IntArray(0) else IntArray(6) { 20_000 + (layer - 1) * 10 + it }
                    for (at in 0..5) user(job(20_000 + layer * 10 + at, 1, 3.0, *before, last = layer == 5))
                }
                delay(25_000)
                cancel(job(20_023, 1, 3.0, *IntArray(6) { 20_010 + it }))
                delay(5_000)
            },
            ClusterScenario("pipelines while controllers crash and transactions come late") {
                state.lateWrites = 0.2
                scope.launch { pipelines(6, 4_000) }
                repeat(5) {
                    restart(nodes[it % 3])
                    delay(5_000)
                    crash(nodes[(it + 1) % 3])
                    delay(2_500)
                    startNode(nodes[(it + 1) % 3])
                }
                state.lateWrites = 0.0
            },
            ClusterScenario("a job is called off as its last task ends, and others await it", mixture = false) {
                onLastEnd = { spec ->
                    if (spec.dependencies == null && random.nextInt(3) > 0) {
                        scope.launch {
                            delay(random.nextLong(1_000))
                            cancel(spec)
                        }
                    }
                }
                pipelines(14, 900)
                delay(15_000)
            },
            ClusterScenario("jobs that await another are submitted as it is called off", mixture = false) {
                repeat(12) { at ->
                    val first = job(1_000 + at * 20, 2, 20.0)
                    user(first)
                    delay(1_500)
                    cancel(first)
                    for (more in 1..6) {
                        user(
                            job(
                                1_000 + at * 20 + more,
                                1,
                                1.0,
                                1_000 + at * 20 + (
                                    if (more % 2 ==
                                        0
                                    ) {
                                        more - 1
                                    } else {
                                        0
                                    }
                                    ),
                            ),
                        )
                        delay(random.nextLong(120))
                    }
                }
                delay(5_000)
            },
            ClusterScenario(
                "an owner that acts until its fence ends, claimed from it, while jobs become ready",
                mixture = false,
            ) {
                pipelines(4, 800)
                cutNodes.add("holt-a")
                delay(12_000)
                cutNodes.clear()
                cut("b")
                pipelines(2)
                delay(30_000)
                cut(null)
            },
            ClusterScenario("limits are lowered without notice, with pipelines and crashes") {
                next = lower
                nodes.forEach(::restart)
                scope.launch { pipelines(6, 2_500) }
                delay(4_000)
                lowerLimits()
                for (zone in zones) repeat(40) { boot(zone, spot = it % 2 == 0) }
                delay(8_000)
                crash("holt-b")
                delay(4_000)
                startNode("holt-b")
                delay(10_000)
                nothingTooLarge()
            },
            ClusterScenario("segments that were written larger are split once limits are lowered", mixture = false) {
                for (zone in zones) repeat(90) { boot(zone, spot = it % 2 == 0) }
                for (id in 201..260) user(spec(id, 20, 6.0))
                delay(14_000)
                if (state.contents().none {
                        it.key.startsWith("o/m/") && it.value.toString().length > 1_024
                    }
                ) {
                    broken.add("no segment is large before")
                }
                next = AnnouncedStoreLimits(valueKb = 1.0)
                nodes.forEach(::restart)
                delay(1_000)
                state.maxValueBytes = 1_024
                machines().take(30).forEach(::take)
                for (id in 301..320) user(spec(id, 10, 5.0))
                delay(25_000)
                nothingTooLarge()
            },
            ClusterScenario(
                "the new version comes, a controller at a time, and pipelines after it; crashes, late transactions and copies meanwhile",
            ) {
                old.addAll(nodes)
                nodes.forEach(::restart)
                state.lateWrites = 0.15
                copies = 0.1
                for (node in nodes.shuffled(random)) {
                    delay(4_000)
                    // One that dies before its turn comes back old.
                    nodes.filter { it != node }.randomOrNull(random)?.let(::restart)
                    delay(3_000)
                    crash(node)
                    old.remove(node)
                    delay(3_000)
                    startNode(node)
                    cancelNow(1)
                }
                scope.launch { pipelines(5, 2_000) }
                delay(14_000)
                state.lateWrites = 0.0
                copies = 0.0
            },
            ClusterScenario(
                "old and new versions by turns, back within a second, with late transactions, handovers and copies",
            ) {
                old.addAll(nodes)
                nodes.forEach(::restart)
                state.lateWrites = 0.2
                copies = 0.1
                for (id in 301..312) user(spec(id, 12, 6.0))
                repeat(12) {
                    val node = nodes[it % 3]
                    crash(node)
                    if (!old.remove(node)) old.add(node)
                    delay(200 + random.nextLong(700))
                    startNode(node)
                    delay(2_500)
                }
                old.clear()
                nodes.forEach(::restart)
                state.lateWrites = 0.0
                copies = 0.0
                pipelines(3)
            },
            ClusterScenario(
                "ten changes of owner between old and new, in both directions, with an outage and a team at its limit",
                teamLimit = 16.0,
            ) {
                old.add("holt-a")
                nodes.forEach(::restart)
                for (id in 201..212) user(spec(id, 6, 8.0))
                repeat(10) {
                    val node = nodes[it % 3]
                    crash(node)
                    delay(5_000)
                    startNode(node)
                    delay(3_000)
                    if (it == 4) state.outage(true)
                    if (it == 6) state.outage(false)
                }
                old.clear()
                nodes.forEach(::restart)
                pipelines(3)
            },
        )
    }
}
