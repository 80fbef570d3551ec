package io.otterknot.leadership

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class FenceTest {
    /** The fence counts from the sending of the renewal and must expire before the lease, despite clock drift. */
    @Test
    fun `the fence expires before the lease and is never shortened until it is revoked`() {
        val fence = Fence(20_000)
        assertTrue(!fence.isValid(0))
        fence.extend(1_000)
        assertTrue(fence.isValid(20_000))
        assertTrue(!fence.isValid(20_900))
        fence.extend(500)
        assertTrue(fence.isValid(20_000), "an older renewal must not shorten the fence")
        fence.revoke()
        assertTrue(!fence.isValid(1_001))
    }
}
