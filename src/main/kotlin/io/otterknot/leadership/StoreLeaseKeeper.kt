package io.otterknot.leadership

import io.otterknot.partition.LeadershipConfirmation
import io.otterknot.records.StoreKeys
import io.otterknot.store.KeyValueStoreClient
import io.otterknot.store.LeaseRenewal
import io.otterknot.store.StoreReplica
import io.otterknot.store.TransactionOutcome
import io.otterknot.wire.VersionCondition
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import kotlin.random.Random

/**
 * Keeps the store lease to which all leader records of this controller are attached. Nothing else changes the [fence].
 *
 * The fence is extended only from a moment up to which this controller has read everything: the sending of a renewal
 * after which the store confirmed all its partitions, once the replica has reached the revision of that confirmation.
 * So any cancellation that the leader has not read was confirmed to its user after the renewal was *sent*
 * (`docs/design.md`, "One leader at a time"). A successful renewal alone does not ensure this, since another controller
 * may relay requests while the watch makes no progress. A leader that answered workers without having read the
 * cancellations that were confirmed to users would keep the cancelled tasks running.
 */
internal class StoreLeaseKeeper(
    private val client: KeyValueStoreClient,
    private val replica: StoreReplica,
    private val ledPartitions: LedPartitionTokens,
    private val fence: Fence,
    private val nowMs: () -> Long,
    private val random: Random,
) : LeadershipConfirmation {
    private val log = LoggerFactory.getLogger(StoreLeaseKeeper::class.java)

    private val confirmationRequests = Channel<Unit>(Channel.CONFLATED)

    override var confirmedMs = Long.MIN_VALUE
        private set

    /** The lease that the store granted, or null before the first grant and after the lease has expired. */
    var leaseId: Long? = null
        private set

    /** Grants, renews and confirms the lease until cancelled. */
    suspend fun keep() {
        while (true) {
            val sentMs = nowMs()
            val isKept = renewOrGrant() && isLeadershipConfirmed()
            if (isKept && !fence.isValid(sentMs)) log.info("lease={} store lease valid", leaseId)
            if (isKept) extendFence(sentMs)
            if (isKept) awaitNextRound() else delay(RETRY_MIN_MS + random.nextLong(RETRY_JITTER_MS))
        }
    }

    private fun extendFence(renewalSentMs: Long) {
        fence.extend(renewalSentMs)
        log.debug(
            "lease={} revision={} confirmed_ms={} fence_until_ms={} leadership confirmed",
            leaseId,
            replica.revision,
            confirmedMs,
            fence.validUntilMs,
        )
    }

    override fun request() {
        confirmationRequests.trySend(Unit)
    }

    private suspend fun awaitNextRound() {
        withTimeoutOrNull(fence.leaseTtlMs / RENEWALS_PER_TTL) {
            delay(MIN_ROUND_INTERVAL_MS)
            confirmationRequests.receive()
        }
    }

    /** Called when the store lease has expired: other controllers may have acquired the partitions attached to it. */
    fun leaseExpired() {
        log.warn("lease={} store lease expired", leaseId)
        leaseId = null
        fence.revoke()
        ledPartitions.allLost()
    }

    private suspend fun renewOrGrant(): Boolean {
        val currentId = leaseId
        if (currentId == null) {
            leaseId = client.grantLease(fence.leaseTtlMs)
            return leaseId != null
        }
        return when (client.renewLease(currentId)) {
            LeaseRenewal.RENEWED -> true

            LeaseRenewal.FAILED -> false

            LeaseRenewal.EXPIRED -> {
                leaseExpired()
                false
            }
        }
    }

    /** Whether this controller leads its partitions and the replica is complete, both at some moment after the call. */
    private suspend fun isLeadershipConfirmed(): Boolean {
        replica.awaitLoaded()
        val revision = confirmedRevision() ?: return false
        if (replica.awaitRevision(revision, REPLICA_WAIT_MS)) return true
        log.info("revision={} replica behind, fence not extended", revision)
        replica.reopenWatch()
        return false
    }

    /**
     * Returns the store's revision at a moment when this controller led each of its partitions under its fencing token,
     * or null if that is not known. Drops the partitions that this controller does not lead any more.
     */
    private suspend fun confirmedRevision(): Long? {
        confirmationRequests.tryReceive()
        val sentMs = nowMs()
        val expectedTokens = ledPartitions.fencingTokens()
        if (expectedTokens.isEmpty()) return client.revisionWithoutWaiting()
        client.rateLimiter.acquireWithoutWaiting()
        val conditions = expectedTokens.map { (zone, token) -> VersionCondition(StoreKeys.partition(zone), token) }
        return when (val outcome = client.checkConditions(conditions)) {
            is TransactionOutcome.Applied -> {
                confirmedMs = sentMs
                outcome.revision
            }

            is TransactionOutcome.Conflict -> {
                dropFailedPartitions(expectedTokens, outcome.failedKeys)
                null
            }

            is TransactionOutcome.Refused, is TransactionOutcome.Unknown -> null
        }
    }

    /** Keeps a partition that was acquired again while the answer was on its way, since its token differs. */
    private fun dropFailedPartitions(expectedTokens: Map<String, Long>, failedKeys: List<String>) {
        for ((zone, token) in expectedTokens) {
            val hasFailed = StoreKeys.partition(zone) in failedKeys
            if (hasFailed && ledPartitions.fencingToken(zone) == token) ledPartitions.lost(zone)
        }
    }

    private companion object {
        const val RENEWALS_PER_TTL = 7
        const val MIN_ROUND_INTERVAL_MS = 250L
        const val RETRY_MIN_MS = 400L
        const val RETRY_JITTER_MS = 600L
        const val REPLICA_WAIT_MS = 2_000L
    }
}
