package io.otterknot.leadership

import io.otterknot.records.StoreKeys
import io.otterknot.store.KeyValueStoreClient
import io.otterknot.store.LeaseRenewal
import io.otterknot.store.StoreReplica
import io.otterknot.store.TransactionOutcome
import io.otterknot.wire.VersionCondition
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import kotlin.random.Random

/**
 * Keeps the store lease on which all leader records of this controller depend, and alone moves the [fence].
 *
 * The fence moves only to a moment up to which this controller knows everything: to the sending of a renewal after
 * which all its partitions were confirmed as its own, once the replica holds what the store held at that confirmation.
 * That keeps "a cancellation that the leader does not know was told after *sent*" (`docs/design.md`, "One leader at a
 * time"): requests may be relayed by another controller while the watch stands still, and a leader that answered workers
 * without knowing of cancellations that users were told of would keep their tasks alive.
 */
internal class StoreLeaseKeeper(
    private val client: KeyValueStoreClient,
    private val replica: StoreReplica,
    private val ledPartitions: LedPartitionTokens,
    private val fence: Fence,
    private val nowMs: () -> Long,
    private val random: Random,
) {
    private val log = LoggerFactory.getLogger(StoreLeaseKeeper::class.java)

    /** The lease that the store granted; null until there is one and after it has expired. */
    var leaseId: Long? = null
        private set

    /** Grants, renews and confirms the lease until cancelled. */
    suspend fun keep() {
        while (true) {
            val sentMs = nowMs()
            val isKept = renewOrGrant() && isLeadershipConfirmed()
            if (isKept && !fence.isValid(sentMs)) log.info("lease={} store lease valid", leaseId)
            if (isKept) fence.extend(sentMs)
            delay(if (isKept) fence.leaseTtlMs / RENEWALS_PER_TTL else RETRY_MIN_MS + random.nextLong(RETRY_JITTER_MS))
        }
    }

    /** The store does not know the lease any more: whatever depended on it may be somebody else's by now. */
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

    /** Whether the partitions are led here and the replica is complete, both as of some moment after the call. */
    private suspend fun isLeadershipConfirmed(): Boolean {
        replica.awaitLoaded()
        val revision = confirmedRevision() ?: return false
        if (replica.awaitRevision(revision, REPLICA_WAIT_MS)) return true
        log.info("revision={} replica behind, fence not extended", revision)
        replica.reopenWatch()
        return false
    }

    /**
     * The store's revision at a moment when every partition was led here under its fencing token; those that were not
     * are given up. Null: not known.
     */
    private suspend fun confirmedRevision(): Long? {
        val expectedTokens = ledPartitions.fencingTokens()
        if (expectedTokens.isEmpty()) return client.revisionWithoutWaiting()
        client.rateLimiter.acquireWithoutWaiting()
        val conditions = expectedTokens.map { (zone, token) -> VersionCondition(StoreKeys.partition(zone), token) }
        return when (val outcome = client.checkConditions(conditions)) {
            is TransactionOutcome.Applied -> outcome.revision

            is TransactionOutcome.Conflict -> {
                giveUpFailed(expectedTokens, outcome.failedKeys)
                null
            }

            is TransactionOutcome.Refused, is TransactionOutcome.Unknown -> null
        }
    }

    /** A partition that was acquired anew while the answer was on its way stays: its token is another one. */
    private fun giveUpFailed(expectedTokens: Map<String, Long>, failedKeys: List<String>) {
        for ((zone, token) in expectedTokens) {
            val hasFailed = StoreKeys.partition(zone) in failedKeys
            if (hasFailed && ledPartitions.fencingToken(zone) == token) ledPartitions.lost(zone)
        }
    }

    private companion object {
        const val RENEWALS_PER_TTL = 7
        const val RETRY_MIN_MS = 400L
        const val RETRY_JITTER_MS = 600L
        const val REPLICA_WAIT_MS = 2_000L
    }
}
