package io.otterknot.testing

import io.otterknot.config.OperatorSettings
import io.otterknot.config.TeamSettings
import io.otterknot.wire.Priority
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import kotlin.time.Duration.Companion.minutes

/**
 * One simulated test case: a cluster on virtual time, a workload, and the faults that [injectFaults] injects after
 * 12 s. All safety checks run throughout, and every job must reach a terminal state.
 */
class ClusterScenario(
    val name: String,
    /** The most cores that team red may use; 0: no limit. */
    val teamLimit: Double = 0.0,
    /** How many machines of each kind (spot or not) the cloud has in a zone. */
    val capacity: Int = 4,
    val seeds: Long = 2L,
    val firstSeed: Long = 1L,
    /** The changes per second that all controllers may write together; with a low value they queue for the store. */
    val changesPerS: Double = 300.0,
    /** Whether the default mix of 14 jobs is submitted; otherwise [injectFaults] submits the workload. */
    val defaultWorkload: Boolean = true,
    val operators: OperatorSettings = OperatorSettings(),
    /** The teams; by default red, limited to [teamLimit] cores, and blue without a limit. */
    val teams: List<TeamSettings> = listOf(TeamSettings("red", cpusMax = teamLimit), TeamSettings("blue")),
    val injectFaults: suspend SimulatedCluster.() -> Unit,
) {
    override fun toString() = name

    /**
     * Runs the scenario with [seeds] seeds from [firstSeed] on (their number can be set by `-Dotterknot.seeds`). Fails
     * on a safety violation and on a job that has not ended about 15 minutes of virtual time after the faults.
     */
    @OptIn(ExperimentalCoroutinesApi::class)
    fun run() = runTest(timeout = 3.minutes) {
        for (seed in firstSeed..<firstSeed + (System.getProperty("otterknot.seeds")?.toLong() ?: seeds)) {
            coroutineScope {
                val started = testScheduler.currentTime
                val cluster =
                    SimulatedCluster(
                        this,
                        seed,
                        { testScheduler.currentTime },
                        teamLimit,
                        capacity,
                        changesPerS,
                        operators,
                        teams,
                    )
                cluster.zones.forEach { zone -> repeat(2) { cluster.boot(zone, spot = it == 1) } }
                cluster.nodes.forEach(cluster::startNode)
                launch { cluster.runLoadBalancer() }
                launch {
                    while (true) {
                        delay(1_000)
                        cluster.inspect()
                        cluster.pollUnknownJob("j-%06d".format(900_000 + cluster.random.nextInt(1000)))
                    }
                }
                if (defaultWorkload) {
                    launch {
                        for (id in 1..14) {
                            delay(cluster.random.nextLong(3_000))
                            val low = id % 3 == 0
                            val spec = cluster.spec(
                                id,
                                1 + cluster.random.nextInt(12),
                                2.0 + cluster.random.nextInt(10),
                                if (low) "bulk" else "urgent",
                                if (low) Priority.BEST_EFFORT else Priority.HIGH,
                                spot = id % 4 != 0,
                                cores = if (low) 1.0 else 2.0,
                            )
                            cluster.startUser(spec, if (id % 6 == 5) 4_000 else null)
                        }
                    }
                }
                delay(12_000)
                injectFaults(cluster)
                cluster.faultsCleared()
                var waited = 0
                while (!cluster.allTerminal() && waited++ < 900) delay(1_000)
                delay(CANCEL_S.toLong() * 1000 + 2_000)
                assertEquals(emptyList<String>(), cluster.violations, "seed $seed")
                assertEquals(
                    emptyList<String>(),
                    cluster.nonTerminalJobs(),
                    "jobs that did not end with seed $seed after ${testScheduler.currentTime - started} ms",
                )
                assertTrue(cluster.starts > 0, "nothing_ran: no task was started")
                currentCoroutineContext().cancelChildren()
            }
        }
    }
}
