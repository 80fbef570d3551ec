package io.otterknot.store

import io.otterknot.http.HttpStatus
import io.otterknot.http.Reply
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow

/** Whether the store answers this controller on the direct connection. */
class StoreHealth(private val nowMs: () -> Long) {
    private var consecutiveFailures = 0
    private var failingSinceMs = 0L
    private val unreachableFlow = MutableStateFlow(false)

    /** When the store last answered, directly or through a relay, by this controller's steady clock. */
    var lastAnswerMs = nowMs()
        private set

    /** The store has not answered [MIN_FAILURES] times in a row, over [MIN_FAILING_MS] at least. */
    val unreachable: StateFlow<Boolean> get() = unreachableFlow

    /** The last direct request was answered: this controller can relay requests of others. */
    val isAnswering: Boolean get() = consecutiveFailures == 0

    /** Takes account of what came of a direct request. */
    fun recordReply(reply: Reply) {
        if (isAnswer(reply)) {
            consecutiveFailures = 0
            unreachableFlow.value = false
            lastAnswerMs = nowMs()
            return
        }
        if (consecutiveFailures++ == 0) failingSinceMs = nowMs()
        val isLasting = nowMs() - failingSinceMs >= MIN_FAILING_MS
        if (consecutiveFailures >= MIN_FAILURES && isLasting) unreachableFlow.value = true
    }

    /** The store has answered a request that a relay carried. */
    fun recordRelayedAnswer() {
        lastAnswerMs = nowMs()
    }

    companion object {
        private const val MIN_FAILURES = 2
        private const val MIN_FAILING_MS = 400L

        /** Whether the store has answered; 503 is an outage, or the store refuses this controller alone (PROTOCOL). */
        fun isAnswer(reply: Reply): Boolean = reply is Reply.Answer && reply.status != HttpStatus.SERVICE_UNAVAILABLE
    }
}
