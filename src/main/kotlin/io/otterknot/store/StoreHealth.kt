package io.otterknot.store

import io.otterknot.http.HttpStatus
import io.otterknot.http.Reply
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow

/** Tracks whether the store answers this controller on the direct connection. */
class StoreHealth(private val nowMs: () -> Long) {
    private var consecutiveFailures = 0
    private var failingSinceMs = 0L
    private val unreachableFlow = MutableStateFlow(false)

    /** When the store last answered, directly or through a relay, by this controller's monotonic clock. */
    var lastAnswerMs = nowMs()
        private set

    /** Whether at least [MIN_FAILURES] direct requests in a row, over at least [MIN_FAILING_MS], got no answer. */
    val unreachable: StateFlow<Boolean> get() = unreachableFlow

    /** Whether the last direct request was answered, so that this controller can relay requests of others. */
    val isAnswering: Boolean get() = consecutiveFailures == 0

    /** Records the outcome of a direct request. */
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

    /** Records that the store answered a request that was sent through a relay. */
    fun recordRelayedAnswer() {
        lastAnswerMs = nowMs()
    }

    companion object {
        private const val MIN_FAILURES = 2
        private const val MIN_FAILING_MS = 400L

        /**
         * Whether [reply] is an answer of the store. A 503 is not: the store has an outage or refuses this controller
         * alone (PROTOCOL).
         */
        fun isAnswer(reply: Reply): Boolean = reply is Reply.Answer && reply.status != HttpStatus.SERVICE_UNAVAILABLE
    }
}
