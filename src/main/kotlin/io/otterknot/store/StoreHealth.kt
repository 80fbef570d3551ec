package io.otterknot.store

import io.otterknot.http.Reply
import io.otterknot.http.Transport
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import org.slf4j.LoggerFactory
import kotlin.random.Random

/** Whether the state service answers this node. */
class StoreHealth(private val nowMs: () -> Long) {
    private var failures = 0
    private var failingSinceMs = 0L
    private val lostFlow = MutableStateFlow(false)

    /** When the service last answered, by whatever way. */
    var goodMs = nowMs()
        private set

    /** It has not answered a few times in a row. */
    val lost: StateFlow<Boolean> get() = lostFlow

    /** It answers now: asked to carry a request there, this node can. */
    val sound: Boolean get() = failures == 0

    fun note(reply: Reply) {
        if (answers(reply)) {
            failures = 0
            lostFlow.value = false
            goodMs = nowMs()
            return
        }
        if (failures++ == 0) failingSinceMs = nowMs()
        if (failures >= FEW && nowMs() - failingSinceMs >= SHORT_MS) lostFlow.value = true
    }

    fun carried() {
        goodMs = nowMs()
    }

    companion object {
        private const val FEW = 2
        private const val SHORT_MS = 400L

        fun answers(reply: Reply): Boolean = reply is Reply.Answer && reply.status != 503
    }
}

/** Another controller that may carry requests to the state service. */
interface Relay {
    /** Whether it is in contact with the state service; null: it does not answer itself. */
    suspend fun sound(): Boolean?

    suspend fun carry(method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply
}

/**
 * The way round by another controller, for a node that alone gets no answer from the state service: its users and
 * workers are then served as before. Every transaction is guarded and a lease counts from the sending of its renewal,
 * so nothing is lost by a request that comes later or twice on this way. In an outage nobody can carry anything.
 */
class RelayPool(private val relays: List<Relay>, private val random: Random, private val nowMs: () -> Long) {
    private val log = LoggerFactory.getLogger(RelayPool::class.java)
    private var chosen: Relay? = null
    private var checkedMs = Long.MIN_VALUE / 2

    /** Nobody answered the last time that anybody was asked. */
    var alone = false
        private set

    suspend fun call(method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply? {
        val relay = choose() ?: return null
        val reply = relay.carry(method, target, body, timeoutMs)
        if (!StoreHealth.answers(reply)) {
            chosen = null
            checkedMs = Long.MIN_VALUE / 2
        }
        return reply
    }

    private suspend fun choose(): Relay? {
        if (nowMs() - checkedMs < CHECK_MS) return chosen
        checkedMs = nowMs()
        val before = chosen
        var heard = false
        chosen = (listOfNotNull(before) + relays.shuffled(random)).firstOrNull { relay ->
            val isSound = relay.sound()
            if (isSound != null) heard = true
            isSound == true
        }
        alone = relays.isNotEmpty() && !heard
        if (chosen != null && before == null) log.info("the state service is asked by way of another controller")
        return chosen
    }

    private companion object {
        const val CHECK_MS = 1_000L
    }
}

/** The state service as this node reaches it: straight, or by way of another controller while that fails. */
class StoreConnection(private val direct: Transport, private val contact: StoreHealth, private val relays: RelayPool) :
    Transport {
    override suspend fun call(method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply {
        if (contact.lost.value) carry(method, target, body, timeoutMs)?.let { return it }
        val reply =
            if (method == "GET") {
                readStraight(target, timeoutMs)
            } else {
                direct.call(method, target, body, timeoutMs).also(contact::note)
            }
        // A 503 was not carried out, so the same may be asked again on the way round.
        val again = contact.lost.value && (reply == null || (reply is Reply.Answer && reply.status == 503))
        return (if (again) carry(method, target, body, timeoutMs) else null) ?: reply
            ?: Reply.None("the state service was lost meanwhile")
    }

    private suspend fun carry(method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply? =
        relays.call(method, target, body, timeoutMs)?.also { if (StoreHealth.answers(it)) contact.carried() }

    /** A watch stays open, and silent, when its node is refused: it is given up as soon as anything shows that. */
    private suspend fun readStraight(target: String, timeoutMs: Long): Reply? = coroutineScope {
        val answer = async { direct.call("GET", target, null, timeoutMs).also(contact::note) }
        val lost = launch { contact.lost.first { it } }
        val reply = select<Reply?> {
            answer.onAwait { it }
            lost.onJoin { null }
        }
        answer.cancel()
        lost.cancel()
        reply
    }

    /** Finds out when the straight way is good again. */
    suspend fun probe() {
        while (true) {
            contact.lost.first { it }
            delay(PROBE_MS)
            contact.note(direct.call("GET", "/store/o/none", null, PROBE_MS))
        }
    }

    private companion object {
        const val PROBE_MS = 1_000L
    }
}
