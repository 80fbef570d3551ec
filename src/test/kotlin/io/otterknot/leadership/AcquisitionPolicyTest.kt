package io.otterknot.leadership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

class AcquisitionPolicyTest {
    private val domains = mapOf("n0" to "a", "n1" to "b")
    private val failureDetector = LeaderFailureDetector(domains.size, Random(1)) { 6 }

    private fun policyOf(label: String) = AcquisitionPolicy(
        LeadershipSettings(label, zones = listOf("a", "b"), domains, storeLeaseTtlMs = 20_000),
        failureDetector,
    )

    private fun AcquisitionPolicy.decide(nowMs: Long, leader: String? = null, ledPartitionCount: Int = 0) =
        decide("a", leader, ledPartitionCount, nowMs)

    @Test
    fun `the controller of the zone acquires a leaderless partition immediately`() {
        assertEquals(AcquisitionDecision.ACQUIRE, policyOf("n0").decide(0, ledPartitionCount = 1))
    }

    @Test
    fun `a controller of another zone waits for its turn, and longer the more partitions it leads`() {
        val policy = policyOf("n1")
        assertEquals(AcquisitionDecision.WAIT, policy.decide(0, ledPartitionCount = 1))
        assertEquals(AcquisitionDecision.WAIT, policy.decide(3_999, ledPartitionCount = 1))
        assertEquals(AcquisitionDecision.ACQUIRE, policy.decide(4_000, ledPartitionCount = 1))
    }

    @Test
    fun `the wait starts again after the partition has had a leader`() {
        val policy = policyOf("n1")
        policy.decide(0)
        policy.decide(2_000, leader = "n0")
        assertEquals(AcquisitionDecision.WAIT, policy.decide(3_000))
        assertEquals(AcquisitionDecision.ACQUIRE, policy.decide(6_000))
    }

    @Test
    fun `a leader record of an earlier process with the same label is replaced immediately`() {
        assertEquals(AcquisitionDecision.ACQUIRE, policyOf("n1").decide(0, leader = "n1"))
    }

    @Test
    fun `a transferred partition is reserved for the controller that requested it`() {
        val formerLeader = policyOf("n0").apply { transferred("a", nowMs = 0) }
        val requester = policyOf("n1").apply { transferRequested("a", nowMs = 0) }
        assertEquals(AcquisitionDecision.WAIT, formerLeader.decide(3_999))
        assertEquals(AcquisitionDecision.ACQUIRE, requester.decide(3_999))
        assertEquals(AcquisitionDecision.ACQUIRE, formerLeader.decide(4_000))
    }

    @Test
    fun `a partition is taken over by force only after machines have returned from its leader`() {
        val policy = policyOf("n1")
        assertEquals(AcquisitionDecision.WAIT, policy.decide(0, leader = "n0"))
        for (nowMs in listOf(0L, 1_000L)) {
            for (machine in listOf("m1", "m2", "m3")) failureDetector.workerRedirected("a", machine, true, nowMs)
        }
        assertEquals(AcquisitionDecision.WAIT, policy.decide(1_000, leader = "n0"), "the random jitter has not passed")
        assertEquals(AcquisitionDecision.FORCE_TAKEOVER, policy.decide(1_200, leader = "n0"))
    }
}
