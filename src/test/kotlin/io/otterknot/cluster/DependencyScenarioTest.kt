package io.otterknot.cluster

import io.otterknot.config.AnnouncedStoreLimits
import io.otterknot.testing.ClusterScenario
import io.otterknot.testing.SimulatedCluster
import io.otterknot.wire.Priority
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Pipelines of dependent jobs, lowered limits of the state service and mixed versions, combined with faults. */
class DependencyScenarioTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `no job starts before its dependencies or outlives their cancellation, and every job ends`(
        case: ClusterScenario,
    ) = case.run()

    companion object {
        private fun SimulatedCluster.job(
            id: Int,
            tasks: Int,
            runS: Double,
            vararg dependsOn: Int,
            last: Boolean = false,
        ) = spec(
            id,
            tasks,
            runS,
            if (last) "urgent" else "bulk",
            if (last) Priority.HIGH else Priority.BEST_EFFORT,
            cores = 1.0,
        )
            .copy(
                dependencies = dependsOn.map { "j-%06d".format(it) }.ifEmpty { null },
                dueS = if (last) 60.0 else null,
                sameZone = false,
                spreadAcrossZones = false,
            )

        /**
         * Submits a root job, [fan] jobs that depend on it, one job that depends on half of these, and a last one that
         * depends on all of them.
         */
        private fun SimulatedCluster.pipeline(
            base: Int,
            fan: Int = 3,
            runS: Double = 4.0,
            cancelFirstMs: Long? = null,
        ) {
            startUser(job(base, 2, runS), cancelFirstMs)
            for (at in 1..fan) startUser(job(base + at, 1 + at % 3, runS, base))
            startUser(job(base + fan + 1, 2, runS, *IntArray((fan + 1) / 2) { base + 1 + it }))
            startUser(job(base + fan + 2, 1, 2.0, base, base + fan + 1, *IntArray(fan) { base + 1 + it }, last = true))
        }

        private suspend fun SimulatedCluster.pipelines(count: Int, everyMs: Long = 1_500) = repeat(count) {
            pipeline(1_000 + it * 20, cancelFirstMs = if (it % 3 == 2) random.nextLong(9_000) else null)
            delay(everyMs)
        }

        private fun outageCases() = listOf(200L, 1_500L, 9_000L).map { gapMs ->
            ClusterScenario(
                "pipeline jobs are cancelled while one leader is refused, then an outage after $gapMs ms",
                seeds = 1,
                defaultWorkload = false,
            ) {
                for (at in 0..5) pipeline(1_000 + at * 20, runS = 60.0)
                delay(8_000)
                state.refusedNode = "holt-a"
                cancelRunning(4)
                delay(gapMs)
                state.outage(true)
                delay(50_000)
                state.refusedNode = null
                state.outage(false)
            }
        }

        private val loweredLimits = AnnouncedStoreLimits(writeRps = 40.0, valueKb = 2.0, txnOps = 6)

        private fun SimulatedCluster.enforceLoweredLimits() {
            state.maxValueBytes = 2_048
            state.maxTransactionChanges = 6
            state.maxWritesPerS = 40.0
        }

        private fun SimulatedCluster.checkNoSizeRejections() {
            if (state.rejectedForSize.isNotEmpty()) violations.add("refused for size: ${state.rejectedForSize}")
        }

        /**
         * Limits that the settings do not announce: controllers learn of them only from rejected transactions. No job
         * may be lost or delayed by them.
         */
        private fun unannouncedLimitCases() = listOf("before", "during", "after").map { moment ->
            ClusterScenario("unannounced limits set in $moment the upgrade", seeds = 1) {
                fun lower() {
                    state.maxValueBytes = 1_100
                    state.maxTransactionChanges = 3
                }
                previousVersionNodes.addAll(nodes)
                nodes.forEach(::restart)
                for (zone in zones) repeat(45) { boot(zone, spot = it % 2 == 0) }
                delay(6_000)
                if (moment == "before") lower()
                for (node in nodes) {
                    crash(node)
                    previousVersionNodes.remove(node)
                    delay(3_000)
                    startNode(node)
                    delay(2_000)
                    if (moment == "during" && node == nodes[1]) lower()
                }
                scope.launch { pipelines(4, 1_500) }
                pipeline(5_000, fan = 110, runS = 2.0)
                for (id in 301..320) startUser(spec(id, 20, 5.0))
                delay(4_000)
                if (moment == "after") lower()
                machines().take(20).forEach(::reclaim)
                for (id in 321..340) startUser(spec(id, 20, 5.0), if (id % 4 == 0) 3_000 else null)
                delay(20_000)
            }
        }

        @JvmStatic
        fun cases() = outageCases() + unannouncedLimitCases() + listOf(
            ClusterScenario("pipelines, some cancelled", defaultWorkload = false) { pipelines(8) },
            ClusterScenario("a chain of 30 jobs and fans of 50", seeds = 1, defaultWorkload = false) {
                startUser(job(2_000, 1, 0.5))
                for (at in 1..30) startUser(job(2_000 + at, 1, 0.5, 2_000 + at - 1, last = at == 30))
                pipeline(3_000, fan = 50, runS = 2.0)
                startUser(job(4_000, 1, 30.0))
                for (at in 1..50) startUser(job(4_000 + at, 1, 1.0, if (at % 2 == 0) 4_000 else 4_000 + at - 1))
                delay(9_000)
                cancel(job(4_000, 1, 30.0))
                delay(5_000)
            },
            ClusterScenario(
                "a fan of 500 jobs, and layers with shared ancestors of which a middle job is cancelled",
                seeds = 1,
            ) {
                startUser(job(10_000, 1, 8.0))
                for (at in 1..500) startUser(job(10_000 + at, 1, 0.5, 10_000))
                // Each job of a layer depends on all jobs of the layer before it.
                for (layer in 0..5) {
                    val before = if (layer == 0) IntArray(0) else IntArray(6) { 20_000 + (layer - 1) * 10 + it }
                    for (at in 0..5) startUser(job(20_000 + layer * 10 + at, 1, 3.0, *before, last = layer == 5))
                }
                delay(25_000)
                cancel(job(20_023, 1, 3.0, *IntArray(6) { 20_010 + it }))
                delay(5_000)
            },
            ClusterScenario("pipelines while controllers crash and transactions are applied late") {
                state.delayedTransactionShare = 0.2
                scope.launch { pipelines(6, 4_000) }
                repeat(5) {
                    restart(nodes[it % 3])
                    delay(5_000)
                    crash(nodes[(it + 1) % 3])
                    delay(2_500)
                    startNode(nodes[(it + 1) % 3])
                }
                state.delayedTransactionShare = 0.0
            },
            ClusterScenario("a job that others depend on is cancelled as its last task ends", defaultWorkload = false) {
                onJobCompleted = { spec ->
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
            ClusterScenario("jobs are submitted while their dependency is being cancelled", defaultWorkload = false) {
                repeat(12) { at ->
                    val first = job(1_000 + at * 20, 2, 20.0)
                    startUser(first)
                    delay(1_500)
                    cancel(first)
                    for (more in 1..6) {
                        startUser(
                            job(
                                1_000 + at * 20 + more,
                                1,
                                1.0,
                                1_000 + at * 20 + (
                                    if (more % 2 == 0) {
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
                "a leader acts until its fence ends after its partition was acquired from it, while jobs become ready",
                defaultWorkload = false,
            ) {
                pipelines(4, 800)
                nodesCutFromWorkers.add("holt-a")
                delay(12_000)
                nodesCutFromWorkers.clear()
                isolateZone("b")
                pipelines(2)
                delay(30_000)
                isolateZone(null)
            },
            ClusterScenario("announced limits are lowered while pipelines run and controllers crash") {
                announcedLimits = loweredLimits
                nodes.forEach(::restart)
                scope.launch { pipelines(6, 2_500) }
                delay(4_000)
                enforceLoweredLimits()
                for (zone in zones) repeat(40) { boot(zone, spot = it % 2 == 0) }
                delay(8_000)
                crash("holt-b")
                delay(4_000)
                startNode("holt-b")
                delay(10_000)
                checkNoSizeRejections()
            },
            ClusterScenario(
                "stored segments are split once the value size limit is lowered",
                defaultWorkload = false,
            ) {
                for (zone in zones) repeat(90) { boot(zone, spot = it % 2 == 0) }
                for (id in 201..260) startUser(spec(id, 20, 6.0))
                delay(14_000)
                if (state.contents().none { it.key.startsWith("o/m/") && it.value.toString().length > 1_024 }) {
                    violations.add("no segment exceeds 1024 bytes before the limit is lowered")
                }
                announcedLimits = AnnouncedStoreLimits(valueKb = 1.0)
                nodes.forEach(::restart)
                delay(1_000)
                state.maxValueBytes = 1_024
                machines().take(30).forEach(::reclaim)
                for (id in 301..320) startUser(spec(id, 10, 5.0))
                delay(25_000)
                checkNoSizeRejections()
            },
            ClusterScenario(
                "rolling upgrade with crashes, late transactions and duplicate reports, then pipelines",
            ) {
                previousVersionNodes.addAll(nodes)
                nodes.forEach(::restart)
                state.delayedTransactionShare = 0.15
                duplicateReportShare = 0.1
                for (node in nodes.shuffled(random)) {
                    delay(4_000)
                    // A controller that crashes before its upgrade restarts with the previous version.
                    nodes.filter { it != node }.randomOrNull(random)?.let(::restart)
                    delay(3_000)
                    crash(node)
                    previousVersionNodes.remove(node)
                    delay(3_000)
                    startNode(node)
                    cancelRunning(1)
                }
                scope.launch { pipelines(5, 2_000) }
                delay(14_000)
                state.delayedTransactionShare = 0.0
                duplicateReportShare = 0.0
            },
            ClusterScenario(
                "upgrades and downgrades with restarts within a second, late transactions and duplicate reports",
            ) {
                previousVersionNodes.addAll(nodes)
                nodes.forEach(::restart)
                state.delayedTransactionShare = 0.2
                duplicateReportShare = 0.1
                for (id in 301..312) startUser(spec(id, 12, 6.0))
                repeat(12) {
                    val node = nodes[it % 3]
                    crash(node)
                    if (!previousVersionNodes.remove(node)) previousVersionNodes.add(node)
                    delay(200 + random.nextLong(700))
                    startNode(node)
                    delay(2_500)
                }
                previousVersionNodes.clear()
                nodes.forEach(::restart)
                state.delayedTransactionShare = 0.0
                duplicateReportShare = 0.0
                pipelines(3)
            },
            ClusterScenario(
                "ten failovers between versions in both directions, with an outage and a team at its limit",
                teamLimit = 16.0,
            ) {
                previousVersionNodes.add("holt-a")
                nodes.forEach(::restart)
                for (id in 201..212) startUser(spec(id, 6, 8.0))
                repeat(10) {
                    val node = nodes[it % 3]
                    crash(node)
                    delay(5_000)
                    startNode(node)
                    delay(3_000)
                    if (it == 4) state.outage(true)
                    if (it == 6) state.outage(false)
                }
                previousVersionNodes.clear()
                nodes.forEach(::restart)
                pipelines(3)
            },
        )
    }
}
