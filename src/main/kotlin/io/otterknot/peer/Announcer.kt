package io.otterknot.peer

import io.otterknot.placement.Part
import kotlinx.coroutines.delay
import kotlin.random.Random

/** Announces this node's parts with idle machines, and withdraws them once none is idle (DESIGN; Saqr, section 3.2). */
class Announcer(
    private val label: String,
    private val own: IdleParts,
    private val peers: Map<String, PeerTransport>,
    private val parts: Map<String, Part>,
    private val nowMs: () -> Long,
    private val random: Random,
) {
    private class Announced(val to: String, val token: Long, var idle: Int, var atMs: Long)

    private val announced = HashMap<String, Announced>()

    suspend fun announce() {
        while (true) {
            delay(EVERY_MS + random.nextLong(200))
            own.expire(nowMs())
            for (zone in announced.keys - parts.keys) announced.remove(zone)
            for (part in parts.values.toList()) consider(part)
        }
    }

    private suspend fun consider(part: Part) {
        val idle = part.machines.count { it.idle && it.usable }
        val now = nowMs()
        val known = announced[part.zone]?.takeIf { it.token == part.token }
        if (idle == 0) {
            if (known != null &&
                tell(known.to, PeerMessage.Withdraw(part.zone, part.token)) != null
            ) {
                announced.remove(part.zone)
            }
            return
        }
        if (known != null) {
            // Telling the number as it falls keeps a burst from flooding the part until it is withdrawn.
            if (known.idle == idle && now - known.atMs < RENEW_MS) return
            if (tell(known.to, PeerMessage.Announce(part.zone, part.token, idle)) == null) {
                announced.remove(part.zone)
            } else {
                known.idle = idle
                known.atMs = now
            }
            return
        }
        val listener = chooseListener(peers.keys.toList() + label, random) { tell(it, PeerMessage.Ask) } ?: return
        if (tell(listener, PeerMessage.Announce(part.zone, part.token, idle)) != null) {
            announced[part.zone] = Announced(listener, part.token, idle, now)
        }
    }

    private suspend fun tell(node: String, message: PeerMessage): Int? {
        val answer = if (node == label) own.take(message, nowMs()) else peers[node]?.ask(message, PEER_ANSWER_MS)
        return (answer as? PeerMessage.Known)?.parts
    }

    private companion object {
        const val EVERY_MS = 500L
        const val RENEW_MS = 2_500L
    }
}
