package io.otterknot.leadership

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class FenceTest {
    /** The fence ends before the lease can, whatever the clocks' drift, counted from the sending of the renewal. */
    @Test
    fun `the fence ends before the lease and moves only forward until it is revoked`() {
        val fence = Fence(20_000)
        assertTrue(!fence.isValid(0))
        fence.extend(1_000)
        assertTrue(fence.isValid(20_000))
        assertTrue(!fence.isValid(20_900))
        fence.extend(500)
        assertTrue(fence.isValid(20_000), "an older renewal takes nothing back")
        fence.revoke()
        assertTrue(!fence.isValid(1_001))
    }
}
