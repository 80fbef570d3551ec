package io.otterknot.leadership

import io.otterknot.records.LeaderRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.decodeRecord
import io.otterknot.records.encodeRecord
import io.otterknot.store.CompareAndSwap
import io.otterknot.store.KeyValueStoreClient
import io.otterknot.store.LeaseRenewal
import io.otterknot.store.Snapshot
import io.otterknot.store.StoreReplica
import io.otterknot.store.TransactionOutcome
import io.otterknot.wire.VersionCondition
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonPrimitive
import org.slf4j.LoggerFactory
import kotlin.random.Random

/**
 * Which partitions this node owns. A partition's key hangs on this node's lease and was put by a guarded transaction,
 * whose revision is both the key's version and the token shown to workers: it rises with every change of owner.
 */
class PartitionLeadership(
    private val label: String,
    private val zones: List<String>,
    private val domains: Map<String, String>,
    private val client: KeyValueStoreClient,
    private val replica: StoreReplica,
    private val ttlMs: Long,
    private val nowMs: () -> Long,
    private val random: Random,
    /** The machines that are registered in a zone. */
    private val machines: (zone: String) -> Set<String>,
    /** [overriding]: the owner before may still act, until its fence ends. */
    private val onClaim: (zone: String, token: Long, overriding: Boolean) -> Unit,
    private val onLoss: (zone: String) -> Unit,
    /**
     * Whether a claimed partition could be taken up; without that, its workers would be kept going and told nothing.
     */
    private val mayClaim: () -> Boolean,
) {
    private val log = LoggerFactory.getLogger(PartitionLeadership::class.java)
    private val fence = Fence(ttlMs)
    private val incarnation = random.nextLong().toULong().toString(36)
    private var lease: Long? = null
    private val tokens = HashMap<String, Long>()
    private val unownedSince = HashMap<String, Long>()
    private val monitor = LeaderFailureDetector(domains.size, random) { machines(it).size }

    /**
     * A machine reports here and is sent to the owner of its partition. It has left that owner if it was with it, and
     * then it shows the owner's [token]: one that shows less, as a whole zone does once it is no longer cut off, only
     * looks for it.
     */
    fun workerRedirected(zone: String, machine: String, token: Long) {
        val leftOwner = machine in machines(zone) && token == replica[StoreKeys.partition(zone)]?.version
        monitor.sent(zone, machine, leftOwner, nowMs())
    }

    /** Whether the owner of [zone] seems not to answer its workers. */
    fun suspectsLeader(zone: String): Boolean = monitor.isDoubtful(zone, nowMs())

    /** When a partition was claimed from this node although it acts for it: its workers do not reach it. */
    private var overriddenMs = Long.MIN_VALUE / 2

    /** The token of [zone] if this node may give commands there now. */
    fun token(zone: String): Long? = tokens[zone]?.takeIf { fence.holds(nowMs()) }

    /** Until when an earlier owner of [zone], claimed from it without its doing, may still act. */
    val takeoverMarkers = TakeoverMarkers(ttlMs, nowMs)

    /** The token of [zone] whether or not the fence holds; guards of transactions need no fence. */
    fun acquiredToken(zone: String): Long? = tokens[zone]

    fun leaderOf(zone: String): String? = partitionKey(zone).value?.leader

    /** Of all partitions, how many this node may act for now. */
    fun ledPartitionShare(): Double = if (fence.holds(nowMs())) tokens.size.toDouble() / zones.size else 0.0

    fun leadershipCondition(zone: String): VersionCondition? = tokens[zone]?.let {
        VersionCondition(StoreKeys.partition(zone), it)
    }

    /** A worker or a failed guard has shown that somebody else owns the partition. */
    fun leadershipLost(zone: String) {
        if (tokens.remove(zone) != null) {
            log.warn("no longer the owner of {}", zone)
            onLoss(zone)
        }
    }

    /**
     * Keeps the lease, and moves the fence only to a moment up to which this node knows everything: to the sending of a
     * renewal whose partitions were then still ours, once the replica holds what the store held after that. Requests
     * may go round by another controller while the watch stands still, and whoever answers workers without knowing of
     * cancellations that users were told of keeps their tasks alive. See "One owner at a time" in `docs/design.md`.
     */
    suspend fun keepStoreLease() {
        while (true) {
            val sent = nowMs()
            val good = renew() && confirmed()
            if (good && !fence.holds(sent)) log.info("the lease is good again")
            if (good) fence.renewed(sent)
            delay(if (good) ttlMs / RENEWALS else 400 + random.nextLong(600))
        }
    }

    private suspend fun renew(): Boolean {
        val held = lease
        if (held == null) {
            lease = client.grantLease(ttlMs)
            return lease != null
        }
        return when (client.renewLease(held)) {
            LeaseRenewal.RENEWED -> true

            LeaseRenewal.FAILED -> false

            LeaseRenewal.EXPIRED -> {
                leaseEnded()
                false
            }
        }
    }

    /** Whether the partitions are this node's and its replica is complete, both as of some moment after the call. */
    private suspend fun confirmed(): Boolean {
        replica.awaitLoaded()
        val revision = confirm() ?: return false
        if (replica.awaitRevision(revision, REACH_MS)) return true
        log.info("the watch is behind revision {}: the fence stays where it is", revision)
        replica.reopenWatch()
        return false
    }

    private fun leaseEnded() {
        log.warn("the lease has ended")
        lease = null
        fence.lost()
        tokens.keys.toList().forEach(::leadershipLost)
    }

    /**
     * The store's revision at a moment when every partition was owned under its token; those that are not are let go.
     * Null: not known.
     */
    private suspend fun confirm(): Long? {
        val asked = tokens.toMap()
        if (asked.isEmpty()) return client.revisionWithoutWaiting()
        client.rateLimiter.acquireWithoutWaiting()
        return when (
            val outcome = client.checkConditions(
                asked.map { (zone, token) ->
                    VersionCondition(StoreKeys.partition(zone), token)
                },
            )
        ) {
            is TransactionOutcome.Applied -> outcome.revision

            is TransactionOutcome.Conflict -> {
                for ((zone, token) in asked) {
                    val isLost = StoreKeys.partition(zone) in outcome.failedKeys
                    if (isLost && tokens[zone] == token) leadershipLost(zone)
                }
                null
            }

            is TransactionOutcome.Refused, is TransactionOutcome.Unknown -> null
        }
    }

    /**
     * The replica shows a change of a partition's key, before any later change: what is written from then on is not
     * ours.
     */
    fun leaderRecordChanged(zone: String, version: Long?) {
        monitor.ownerChanged(zone, nowMs())
        val own = tokens[zone] ?: return
        if (version == null || version <= own) return
        if (fence.holds(nowMs())) overriddenMs = nowMs()
        leadershipLost(zone)
    }

    /**
     * Gives a partition up so that the node that asks for it may claim it; it stops acting for it before anybody can.
     */
    suspend fun transferLeadership(zone: String, others: Int) {
        val fencingToken = tokens[zone] ?: return
        if (tokens.size < others + TOO_MANY) return
        log.info("giving {} up to a node with less to do", zone)
        tokens.remove(zone)
        onLoss(zone)
        client.rateLimiter.acquire(1)
        // If this is lost, the key still shows this node's label, and this node claims the partition again.
        client.transact(CompareAndSwap.remove(Snapshot(StoreKeys.partition(zone), zone, fencingToken)))
        yieldedMs[zone] = nowMs()
    }

    private val yieldedMs = HashMap<String, Long>()

    /** A partition that this node should rather own than its owner, who has far more to do. */
    fun wanted(): Pair<String, String>? {
        if (tokens.isNotEmpty() || !fence.holds(nowMs()) || nowMs() - overriddenMs < OVERRIDDEN_MS) return null
        val owners = zones.mapNotNull { zone -> leaderOf(zone)?.let { zone to it } }
        val busy = owners.groupBy({ it.second }, { it.first }).filter { it.value.size >= TOO_MANY }
        val mine = busy.entries.flatMap { (owner, owned) -> owned.map { it to owner } }
        val partitionToRequest = mine.minByOrNull { (zone, _) -> claimRank(zone, zones, label, domains) } ?: return null
        askedMs[partitionToRequest.first] = nowMs()
        return partitionToRequest
    }

    /**
     * Partitions that this node has asked for; should one be given up, it need not wait for nodes that come first otherwise.
     */
    private val askedMs = HashMap<String, Long>()

    val ledPartitionCount: Int get() = tokens.size

    suspend fun acquirePartitions() {
        while (true) {
            val held = lease
            if (held != null && replica.isLoaded && fence.holds(nowMs()) && mayClaim()) {
                for (zone in zones) considerClaim(zone, held)
            }
            delay(CLAIM_EVERY_MS)
        }
    }

    private suspend fun considerClaim(zone: String, held: Long) {
        if (zone in tokens) {
            checkStillOwned(zone)
            return
        }
        val before = partitionKey(zone)
        val holder = before.value
        if (holder == null) {
            if (isMyTurn(zone, nowMs())) claim(zone, before, held, overriding = false)
            return
        }
        unownedSince.remove(zone)
        // A key with this node's label that this process did not put is a predecessor's: that process is dead.
        val overriding = holder.leader != label
        if (overriding) {
            if (!monitor.isAbandoned(zone, tokens.size, nowMs())) return
            log.info("{} does not answer its workers; taking {} over", holder.leader, zone)
        }
        claim(zone, before, held, overriding)
    }

    private fun partitionKey(zone: String): Snapshot<LeaderRecord> =
        replica.snapshot(StoreKeys.partition(zone)).map { decodeRecord(LeaderRecord.serializer(), it) }

    /** The replica may lag behind the claim; only a newer key, or none after it, takes the partition away. */
    private fun checkStillOwned(zone: String) {
        val own = tokens[zone] ?: return
        val shown = replica[StoreKeys.partition(zone)]
        val isLost = if (shown != null) shown.version > own else replica.revision >= own
        if (isLost) leadershipLost(zone)
    }

    /** Whether this node's turn has come to take the unowned partition of [zone]. */
    private fun isMyTurn(zone: String, now: Long): Boolean {
        if (now - (yieldedMs[zone] ?: Long.MIN_VALUE / 2) < YIELD_MS) return false
        val since = unownedSince.getOrPut(zone) { now }
        val asked = now - (askedMs[zone] ?: Long.MIN_VALUE / 2) < YIELD_MS
        val rank = if (asked) 0 else claimRank(zone, zones, label, domains)
        val behindOthersMs = if (rank > 0) tokens.size * OWNED_MS else 0
        return now - since >= rank * RANK_MS + behindOthersMs
    }

    /** Claims the partition of [zone] as it was [before], on the lease [held]. */
    private suspend fun claim(zone: String, before: Snapshot<LeaderRecord>, held: Long, overriding: Boolean) {
        val record = encodeRecord(LeaderRecord.serializer(), LeaderRecord(label, incarnation))
        val plain = CompareAndSwap.put(before, record, lease = held)
        val claim = if (overriding) plain.alsoPut(StoreKeys.takeoverMarker(zone), JsonPrimitive(incarnation)) else plain
        client.rateLimiter.acquire(claim.size)
        when (val outcome = client.transact(claim)) {
            is TransactionOutcome.Applied -> {
                tokens[zone] = outcome.revision
                unownedSince.remove(zone)
                log.info("owner of {} with token {}", zone, outcome.revision)
                onClaim(zone, outcome.revision, overriding)
            }

            is TransactionOutcome.Conflict -> replica.awaitRevision(outcome.revision, REACH_MS)

            is TransactionOutcome.Refused -> if (outcome.status == 400) leaseEnded()

            // If it is carried out after all, the key shows this label and is claimed once more under a new token.
            is TransactionOutcome.Unknown -> log.info("claim of {} without an answer: {}", zone, outcome.reason)
        }
    }

    private companion object {
        const val OVERRIDDEN_MS = 45_000L

        /** So many more partitions than another node are too many: to hand one over costs its tasks a second or two. */
        const val TOO_MANY = 3
        const val YIELD_MS = 4_000L
        const val RENEWALS = 7
        const val CLAIM_EVERY_MS = 250L
        const val RANK_MS = 3_000L
        const val OWNED_MS = 1_000L
        const val REACH_MS = 2_000L
    }
}
