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

/** A trouble, or several that meet, in the life of a cluster. */
class ClusterScenario(
    val name: String,
    val teamLimit: Double = 0.0,
    val capacity: Int = 4,
    val seeds: Long = 2L,
    val firstSeed: Long = 1L,
    /** The changes a second that controllers may make together; few make them wait for their turn. */
    val changesPerS: Double = 300.0,
    /** Whether the usual mixture of jobs arrives; the trouble may bring its own instead. */
    val mixture: Boolean = true,
    val operators: OperatorSettings = OperatorSettings(),
    /** The teams, where they are not the usual two. */
    val teams: List<TeamSettings> = listOf(TeamSettings("red", cpusMax = teamLimit), TeamSettings("blue")),
    val trouble: suspend SimulatedCluster.() -> Unit,
) {
    override fun toString() = name

    /** Plays the case with some seeds; every rule is watched, and every job must end. */
    @OptIn(ExperimentalCoroutinesApi::class)
    fun play() = runTest(timeout = 3.minutes) {
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
                launch { cluster.balance() }
                launch {
                    while (true) {
                        delay(1_000)
                        cluster.inspect()
                        cluster.stranger("j-%06d".format(900_000 + cluster.random.nextInt(1000)))
                    }
                }
                if (mixture) {
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
                            cluster.user(spec, if (id % 6 == 5) 4_000 else null)
                        }
                    }
                }
                delay(12_000)
                trouble(cluster)
                cluster.troublesOver()
                var waited = 0
                while (!cluster.allOver() && waited++ < 900) delay(1_000)
                delay(CANCEL_S.toLong() * 1000 + 2_000)
                assertEquals(emptyList<String>(), cluster.broken, "seed $seed")
                assertEquals(
                    emptyList<String>(),
                    cluster.open(),
                    "jobs that did not end with seed $seed after ${testScheduler.currentTime - started} ms",
                )
                assertTrue(cluster.starts > 0, "nothing_ran")
                currentCoroutineContext().cancelChildren()
            }
        }
    }
}
