package io.otterknot.leadership

import io.otterknot.records.LeaderRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.encodeRecord
import io.otterknot.store.CompareAndSwap
import io.otterknot.store.KeyValueStoreClient
import io.otterknot.store.Snapshot
import io.otterknot.store.StoreReplica
import io.otterknot.store.TransactionOutcome
import kotlinx.serialization.json.JsonPrimitive
import org.slf4j.LoggerFactory

/**
 * Acquires partitions as [policy] decides, on the store lease and under this process's [record].
 *
 * An acquisition puts the leader record by a transaction that is guarded by the record's version (or absence) and
 * depends on the store lease; its revision is the fencing token. So of two controllers that see the same record only one
 * acquires the partition, and the fencing token rises with each change of leader (`docs/design.md`, "One leader at a
 * time").
 */
internal class PartitionAcquirer(
    private val record: LeaderRecord,
    private val client: KeyValueStoreClient,
    private val replica: StoreReplica,
    private val storeLease: StoreLeaseKeeper,
    private val ledPartitions: LedPartitionTokens,
    private val policy: AcquisitionPolicy,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger(PartitionAcquirer::class.java)
    private val leaderRecords = LeaderRecords(replica)

    /** Acquires the partition of [zone] on the store lease [leaseId] if it is this controller's turn. */
    suspend fun consider(zone: String, leaseId: Long) {
        val fencingToken = ledPartitions.fencingToken(zone)
        if (fencingToken != null) {
            if (leaderRecords.isSuperseded(zone, fencingToken)) ledPartitions.lost(zone)
            return
        }
        val before = leaderRecords.snapshot(zone)
        val leader = before.value?.leader
        when (policy.decide(zone, leader, ledPartitions.size, nowMs())) {
            AcquisitionDecision.WAIT -> Unit

            AcquisitionDecision.ACQUIRE -> acquire(zone, before, leaseId, isForcedTakeover = false)

            AcquisitionDecision.FORCE_TAKEOVER -> {
                log.info("partition={} leader={} leader unresponsive, forced takeover", zone, leader)
                acquire(zone, before, leaseId, isForcedTakeover = true)
            }
        }
    }

    /** Acquires the partition of [zone], whose leader record was [before]. */
    private suspend fun acquire(
        zone: String,
        before: Snapshot<LeaderRecord>,
        leaseId: Long,
        isForcedTakeover: Boolean,
    ) {
        val change = acquisition(zone, before, leaseId, isForcedTakeover)
        client.rateLimiter.acquire(change.size)
        when (val outcome = client.transact(change)) {
            is TransactionOutcome.Applied -> {
                policy.acquired(zone)
                ledPartitions.acquired(LeadershipAcquisition(zone, outcome.revision, isForcedTakeover))
            }

            is TransactionOutcome.Conflict -> replica.awaitRevision(outcome.revision, REPLICA_WAIT_MS)

            is TransactionOutcome.Refused -> if (outcome.status == STATUS_BAD_LEASE) storeLease.leaseExpired()

            // If it is carried out after all, the record shows this label and is acquired anew under a new token.
            is TransactionOutcome.Unknown ->
                log.info("partition={} error=\"{}\" leadership acquisition unanswered", zone, outcome.reason)
        }
    }

    /** A forced takeover leaves the marker that tells later leaders to wait for the fence of the one before. */
    private fun acquisition(
        zone: String,
        before: Snapshot<LeaderRecord>,
        leaseId: Long,
        isForcedTakeover: Boolean,
    ): CompareAndSwap {
        val put = CompareAndSwap.put(before, encodeRecord(LeaderRecord.serializer(), record), lease = leaseId)
        if (!isForcedTakeover) return put
        return put.alsoPut(StoreKeys.takeoverMarker(zone), JsonPrimitive(record.incarnation))
    }

    private companion object {
        /** The store's answer to a transaction on a lease that it does not know. */
        const val STATUS_BAD_LEASE = 400
        const val REPLICA_WAIT_MS = 2_000L
    }
}
