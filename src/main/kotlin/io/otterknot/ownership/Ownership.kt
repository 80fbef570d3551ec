package io.otterknot.ownership

import io.otterknot.state.Keys
import io.otterknot.state.PartRecord
import io.otterknot.state.RenewOutcome
import io.otterknot.state.Replica
import io.otterknot.state.StateClient
import io.otterknot.state.TxnOutcome
import io.otterknot.state.decodeRecord
import io.otterknot.state.encodeRecord
import io.otterknot.wire.Change
import io.otterknot.wire.Guard
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import kotlin.random.Random

/**
 * Which parts this node owns. A part's key hangs on this node's lease and was put by a guarded transaction, whose
 * revision is both the key's version and the token shown to workers: it rises with every change of owner.
 */
class Ownership(
    private val label: String,
    private val zones: List<String>,
    private val domains: Map<String, String>,
    private val client: StateClient,
    private val replica: Replica,
    private val ttlMs: Long,
    private val nowMs: () -> Long,
    private val random: Random,
    private val onClaim: (zone: String, token: Long) -> Unit,
    private val onLoss: (zone: String) -> Unit,
) {
    private val log = LoggerFactory.getLogger(Ownership::class.java)
    private val fence = Fence(ttlMs)
    private val incarnation = random.nextLong().toULong().toString(36)
    private var lease: Long? = null
    private val tokens = HashMap<String, Long>()
    private val unownedSince = HashMap<String, Long>()

    /** The token of [zone] if this node may give commands there now. */
    fun token(zone: String): Long? = tokens[zone]?.takeIf { fence.holds(nowMs()) }

    /** The token of [zone] whether or not the fence holds; guards of transactions need no fence. */
    fun claimed(zone: String): Long? = tokens[zone]

    fun ownerOf(zone: String): String? =
        replica[Keys.part(zone)]?.let { decodeRecord(PartRecord.serializer(), it.value).owner }

    /** Of all parts, how many this node may act for now. */
    fun ownedShare(): Double = if (fence.holds(nowMs())) tokens.size.toDouble() / zones.size else 0.0

    fun guard(zone: String): Guard? = tokens[zone]?.let { Guard(Keys.part(zone), it) }

    /** A worker or a failed guard has shown that somebody else owns the part. */
    fun superseded(zone: String) {
        if (tokens.remove(zone) != null) {
            log.warn("no longer the owner of {}", zone)
            onLoss(zone)
        }
    }

    suspend fun keepLease() {
        while (true) {
            val held = lease
            val sent = nowMs()
            if (held == null) {
                lease = client.grantLease(ttlMs)?.also { fence.renewed(sent) }
                delay(if (lease == null) 500 + random.nextLong(500) else ttlMs / RENEWALS)
                continue
            }
            when (client.renewLease(held)) {
                RenewOutcome.Renewed -> {
                    if (!fence.holds(sent)) log.info("the lease is good again")
                    fence.renewed(sent)
                    delay(ttlMs / RENEWALS)
                }
                RenewOutcome.Gone -> {
                    log.warn("the lease has ended")
                    lease = null
                    fence.lost()
                    tokens.keys.toList().forEach(::superseded)
                }
                RenewOutcome.Failed -> delay(400 + random.nextLong(600))
            }
        }
    }

    suspend fun claimParts() {
        while (true) {
            val held = lease
            if (held != null && replica.loaded && fence.holds(nowMs())) {
                for (zone in zones) considerClaim(zone, held)
            }
            delay(CLAIM_EVERY_MS)
        }
    }

    private suspend fun considerClaim(zone: String, held: Long) {
        val entry = replica[Keys.part(zone)]
        val own = tokens[zone]
        if (own != null) {
            // The replica may lag behind the claim; only a newer key, or none after it, takes the part away.
            if (entry != null && entry.version > own || entry == null && replica.revision >= own) superseded(zone)
            return
        }
        val now = nowMs()
        if (entry == null) {
            val since = unownedSince.getOrPut(zone) { now }
            val rank = claimRank(zone, zones, label, domains)
            val owned = tokens.size
            if (now - since < rank * RANK_MS + (if (rank > 0) owned * OWNED_MS else 0)) return
        } else {
            unownedSince.remove(zone)
            // A key with this node's label that this process did not put is a predecessor's: that process is dead.
            if (decodeRecord(PartRecord.serializer(), entry.value).owner != label) return
        }
        val key = Keys.part(zone)
        val record = encodeRecord(PartRecord.serializer(), PartRecord(label, incarnation))
        client.budget.take(1)
        val outcome = client.txn(listOf(Guard(key, entry?.version ?: 0)), listOf(Change(put = key, value = record, lease = held)))
        when (outcome) {
            is TxnOutcome.Applied -> {
                tokens[zone] = outcome.revision
                unownedSince.remove(zone)
                log.info("owner of {} with token {}", zone, outcome.revision)
                onClaim(zone, outcome.revision)
            }
            is TxnOutcome.Conflict -> replica.reach(outcome.revision, REACH_MS)
            is TxnOutcome.Refused -> if (outcome.status == 400) lease = null
            // If it is carried out after all, the key shows this label and is claimed once more under a new token.
            is TxnOutcome.Unknown -> log.info("claim of {} without an answer: {}", zone, outcome.why)
        }
    }

    private companion object {
        const val RENEWALS = 7
        const val CLAIM_EVERY_MS = 250L
        const val RANK_MS = 3_000L
        const val OWNED_MS = 1_000L
        const val REACH_MS = 2_000L
    }
}
