package io.otterknot.http

import io.otterknot.testing.MESSAGE_LIMIT_BYTES
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class RefusalTest {
    /** Guards against a response line above 64 KiB: a reason may quote the path, and each character may be escaped. */
    @Test
    fun `a refusal that quotes a long path is within the limit of a line`() {
        val path = "\u0001".repeat(HttpHead.MAX_HEAD_BYTES.toInt())
        val refusal = HttpResponse.refusal(HttpStatus.NOT_FOUND, "no job $path")
        assertTrue(refusal.body.size <= MESSAGE_LIMIT_BYTES, "${refusal.body.size} bytes")
    }
}
