package io.otterknot.store

import io.otterknot.http.Reply
import io.otterknot.time.NEVER_MS
import org.slf4j.LoggerFactory
import kotlin.random.Random

/**
 * Forwards store requests through other controllers while the store answers them but not this controller, so that this
 * controller can still serve its users and workers. A forwarded request may arrive late or twice without harm, since
 * every transaction is conditional and a lease counts from the moment at which its renewal was sent. Relays do not help
 * in an outage of the store.
 */
class RelayPool(private val relays: List<Relay>, private val random: Random, private val nowMs: () -> Long) {
    private val log = LoggerFactory.getLogger(RelayPool::class.java)
    private var chosen: Relay? = null
    private var chosenMs = NEVER_MS

    /** Whether no other controller answered when a relay was last chosen. */
    var noPeerAnswers = false
        private set

    /** Sends the request through a relay. Returns null, and sends nothing, if no relay reaches the store. */
    suspend fun call(method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply? {
        val relay = choose() ?: return null
        val reply = relay.relay(method, target, body, timeoutMs)
        if (!StoreHealth.isAnswer(reply)) {
            chosen = null
            chosenMs = NEVER_MS
        }
        return reply
    }

    /**
     * Returns the relay in use, which is checked again after [CHOICE_VALID_MS] and replaced by another if it no longer
     * reaches the store; or null if no relay reaches the store.
     */
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
