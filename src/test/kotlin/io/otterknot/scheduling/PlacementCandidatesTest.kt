package io.otterknot.scheduling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random

class PlacementCandidatesTest {
    data class TargetLoad(val load: Double, val drift: Double) {
        fun toTarget() = PlacementTarget(load, drift)
    }

    /** A choice among [targets] for a task of [share]; [loadAfter] is the expected load of the chosen target. */
    data class Choice(
        val targets: List<TargetLoad>,
        val share: Double,
        val chosenIndex: Int,
        val loadAfter: TargetLoad,
    )

    @ParameterizedTest
    @MethodSource("lighterByLoad", "lighterByDriftedLoad")
    fun `target with the lower load including drift is chosen of two`(choice: Choice) {
        for (seed in 1L..8L) {
            val targets = choice.targets.map { it.toTarget() }
            val chosen = PlacementCandidates(targets) { true }.choose(Random(seed)) { choice.share }
            assertEquals(targets[choice.chosenIndex], chosen)
            assertEquals(choice.loadAfter.load, chosen!!.load, 1e-9)
            assertEquals(choice.loadAfter.drift, chosen.drift, 1e-9)
        }
    }

    @Test
    fun `idle target is chosen first and is no longer idle afterwards`() {
        val idle = PlacementTarget(idle = true)
        val targets = listOf(PlacementTarget(0.0), idle, PlacementTarget(0.1))

        val chosen = PlacementCandidates(targets) { true }.choose(Random(1)) { 0.5 }

        assertEquals(idle, chosen)
        assertEquals(false, idle.idle)
        assertEquals(0.5, idle.load)
    }

    @Test
    fun `single target is chosen`() {
        val target = PlacementTarget(0.9, 0.05)
        assertEquals(target, PlacementCandidates(listOf(target)) { true }.choose(Random(1)) { 0.05 })
    }

    @Test
    fun `no target is chosen if there are none`() {
        assertEquals(null, PlacementCandidates(emptyList<PlacementTarget>()) { true }.choose(Random(1)) { 0.1 })
    }

    @Test
    fun `target that no longer fits is skipped and the others remain equally likely`() {
        val targets = List(5) { PlacementTarget(0.5) }
        val full = HashSet<PlacementTarget>()
        val timesChosen = HashMap<Int, Int>()
        repeat(400) { seed ->
            full.clear()
            val candidates = PlacementCandidates(targets) { it !in full }
            full.add(targets[seed % 5])
            targets.forEach { it.reported(0.5, false) }

            val chosen = candidates.choose(Random(seed)) { 0.1 }!!
            assertTrue(chosen !in full)
            timesChosen.merge(targets.indexOf(chosen), 1, Int::plus)

            full.addAll(targets)
            assertEquals(null, candidates.choose(Random(seed)) { 0.1 })
        }
        assertTrue(timesChosen.values.all { it in 50..110 }, "$timesChosen")
    }

    private companion object {
        /** The drift of the lighter target is below the difference of the loads, so the task is added to its drift. */
        @JvmStatic
        fun lighterByLoad() = listOf(
            Choice(
                targets = listOf(TargetLoad(0.2, 0.0), TargetLoad(0.6, 0.0)),
                share = 0.25,
                chosenIndex = 0,
                loadAfter = TargetLoad(0.2, 0.25),
            ),
            Choice(
                targets = listOf(TargetLoad(0.6, 0.0), TargetLoad(0.2, 0.3)),
                share = 0.25,
                chosenIndex = 1,
                loadAfter = TargetLoad(0.2, 0.55),
            ),
        )

        /** The drift reaches the difference of the loads: the lower sum is chosen, its drift added to its load. */
        @JvmStatic
        fun lighterByDriftedLoad() = listOf(
            Choice(
                targets = listOf(TargetLoad(0.2, 0.5), TargetLoad(0.6, 0.0)),
                share = 0.25,
                chosenIndex = 1,
                loadAfter = TargetLoad(0.85, 0.0),
            ),
            Choice(
                targets = listOf(TargetLoad(0.5, 0.1), TargetLoad(0.5, 0.0)),
                share = 0.25,
                chosenIndex = 1,
                loadAfter = TargetLoad(0.75, 0.0),
            ),
            Choice(
                targets = listOf(TargetLoad(0.3, 0.2), TargetLoad(0.4, 0.3)),
                share = 0.10,
                chosenIndex = 0,
                loadAfter = TargetLoad(0.6, 0.0),
            ),
        )
    }
}
