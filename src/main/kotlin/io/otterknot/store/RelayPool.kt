package io.otterknot.store

import io.otterknot.http.Reply
import io.otterknot.time.NEVER_MS
import org.slf4j.LoggerFactory
import kotlin.random.Random

/**
 * The other controllers as relays, for a controller that alone gets no answer from the store: its users and workers are
 * then served as before. Every transaction is conditional and a lease counts from the sending of its renewal, so
 * nothing is lost by a request that arrives later or twice this way. In an outage of the store no relay helps.
 */
class RelayPool(private val relays: List<Relay>, private val random: Random, private val nowMs: () -> Long) {
    private val log = LoggerFactory.getLogger(RelayPool::class.java)
    private var chosen: Relay? = null
    private var chosenMs = NEVER_MS

    /** No other controller answered the last time that a relay was chosen. */
    var noPeerAnswers = false
        private set

    /** Null: no relay reaches the store, and nothing was sent. */
    suspend fun call(method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply? {
        val relay = choose() ?: return null
        val reply = relay.relay(method, target, body, timeoutMs)
        if (!StoreHealth.isAnswer(reply)) {
            chosen = null
            chosenMs = NEVER_MS
        }
        return reply
    }

    /** The relay of the last choice for [CHOICE_VALID_MS]; then it, if it still reaches the store, or another. */
    private suspend fun choose(): Relay? {
        if (nowMs() - chosenMs < CHOICE_VALID_MS) return chosen
        chosenMs = nowMs()
        val previous = chosen
        var isAnyAnswering = false
        chosen = (listOfNotNull(previous) + relays.shuffled(random)).firstOrNull { relay ->
            val reachesStore = relay.reachesStore()
            if (reachesStore != null) isAnyAnswering = true
            reachesStore == true
        }
        noPeerAnswers = relays.isNotEmpty() && !isAnyAnswering
        if (chosen != null && previous == null) log.info("store requests relayed through another controller")
        return chosen
    }

    private companion object {
        const val CHOICE_VALID_MS = 1_000L
    }
}
