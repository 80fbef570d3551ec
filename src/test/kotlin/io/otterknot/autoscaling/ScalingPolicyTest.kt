package io.otterknot.autoscaling

import io.otterknot.wire.MachineType
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ScalingPolicyTest {
    /**
     * The slow type has the lower price per core, but with boot time included the fast type costs less for short use.
     */
    private val types = listOf(
        MachineType("slow", 32.0, 0.0, 64.0, price = 2.0, spotPrice = 0.7, bootS = 40.0, zones = listOf("a")),
        MachineType("fast", 16.0, 0.0, 64.0, price = 1.2, spotPrice = 0.4, bootS = 15.0, zones = listOf("a")),
    )
    private val policy = ScalingPolicy()

    /** Returns the decisions for the given demand when there is no supply. */
    private fun scaleOut(
        ordinaryDemandCores: Double,
        totalDemandCores: Double,
        isExhausted: (MachineKind) -> Boolean = { false },
    ): List<ScaleOutDecision> {
        val inputs = ScalingInputs(ordinaryDemandCores, totalDemandCores, 0.0, 0.0)
        return policy.scaleOut(inputs, types, "a", isExhausted)
    }

    @Test
    fun `ordinary machines are added for ordinary demand and spot instances for the rest`() {
        val decisions = scaleOut(20.0, 100.0)
        assertEquals(listOf("fast" to false, "fast" to true), decisions.map { it.kind.type to it.kind.spot })
        assertEquals(listOf(2, 6), decisions.map { it.count })
    }

    @Test
    fun `a more expensive type is added when the cheapest is exhausted`() {
        val decisions = scaleOut(0.0, 100.0) { it.type == "fast" }
        assertEquals(listOf("slow" to true), decisions.map { it.kind.type to it.kind.spot })
    }

    @Test
    fun `ordinary machines are added for any demand when spot instances are exhausted`() {
        val decisions = scaleOut(0.0, 30.0) { it.spot }
        assertEquals(listOf("fast" to false), decisions.map { it.kind.type to it.kind.spot })
    }

    @Test
    fun `a large demand is covered by one decision`() {
        val decisions = scaleOut(0.0, 4_200.0) { it.type == "slow" }
        assertEquals(300, decisions.single().count.coerceAtMost(300))
    }

    @Test
    fun `a spot instance beyond demand and headroom can be spared`() {
        assertTrue(policy.canSpare(ScalingInputs(10.0, 40.0, 32.0, 96.0), spot = true, cores = 32.0))
    }

    @Test
    fun `an ordinary machine that ordinary demand requires cannot be spared`() {
        assertFalse(policy.canSpare(ScalingInputs(30.0, 40.0, 32.0, 96.0), spot = false, cores = 16.0))
    }
}
