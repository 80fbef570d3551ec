package io.otterknot.partition

import io.otterknot.testing.MESSAGE_LIMIT_BYTES
import io.otterknot.wire.CommandOperation
import io.otterknot.wire.ExitCause
import io.otterknot.wire.HeartbeatResponse
import io.otterknot.wire.TaskState
import io.otterknot.wire.WireJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** The response to a heartbeat is one line, and no line may be longer than 64 KiB. */
class ResponseLimitTest : PartitionFixture() {
    private fun responseBytes(decision: HeartbeatDecision): Int {
        val answer = decision as HeartbeatDecision.Answer
        val response = HeartbeatResponse(answer.fencingToken, answer.commands)
        return WireJson.encodeToString(HeartbeatResponse.serializer(), response).length
    }

    /** Guards against a response line above the limit, and against commands that are never sent because of it. */
    @ParameterizedTest
    @ValueSource(booleans = [true, false])
    fun `a response names only as many tasks as a line may hold, later ones the others`(running: Boolean) {
        val partition = partition()
        partition.register("m1")
        var left = (0 until 900).map { runningTask("j-000000000000000009/$it").copy(attempt = Long.MAX_VALUE - it) }
        if (!running) left = left.map { it.copy(state = TaskState.EXITED, cause = ExitCause.STOPPED) }
        val operation = if (running) CommandOperation.HALT else CommandOperation.FORGET
        var rounds = 0
        while (left.isNotEmpty()) {
            val decision = partition.heartbeat("m1", TOKEN, 10L + rounds, left)
            assertTrue(responseBytes(decision) <= MESSAGE_LIMIT_BYTES)
            val named = decision.commands().filter { it.op == operation }.map { it.attempt }.toSet()
            assertTrue(named.isNotEmpty())
            left = left.filterNot { it.attempt in named }
            rounds++
        }
        assertEquals(2, rounds)
    }
}
