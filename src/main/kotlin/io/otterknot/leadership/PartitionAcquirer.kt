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
 * Acquires partitions as [policy] decides, under the store lease and with this process's [record].
 *
 * An acquisition writes the leader record in a transaction that is conditional on the record's version (or absence) and
 * attaches the record to the store lease; the revision of the transaction is the fencing token. So of two controllers
 * that see the same record only one acquires the partition, and the fencing token increases with each change of leader
 * (`docs/design.md`, "One leader at a time").
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

    /**
     * Acquires the partition of [zone] under the store lease [leaseId] if it is this controller's turn. If this
     * controller leads the partition already, only checks that its acquisition has not been superseded.
     */
    suspend fun acquireIfDue(zone: String, leaseId: Long) {
        val fencingToken = ledPartitions.fencingToken(zone)
        if (fencingToken != null) {
            if (leaderRecords.isSuperseded(zone, fencingToken)) ledPartitions.lost(zone)
            return
        }
        val previous = leaderRecords.snapshot(zone)
        val leader = previous.value?.leader
        when (policy.decide(zone, leader, ledPartitions.size, nowMs())) {
            AcquisitionDecision.WAIT -> Unit

            AcquisitionDecision.ACQUIRE -> acquire(zone, previous, leaseId, isForcedTakeover = false)

            AcquisitionDecision.FORCE_TAKEOVER -> {
                log.info("partition={} leader={} leader unresponsive, forced takeover", zone, leader)
                acquire(zone, previous, leaseId, isForcedTakeover = true)
            }
        }
    }

    /** Tries to acquire the partition of [zone], whose leader record was [previous]. */
    private suspend fun acquire(
        zone: String,
        previous: Snapshot<LeaderRecord>,
        leaseId: Long,
        isForcedTakeover: Boolean,
    ) {
        val change = acquisition(zone, previous, leaseId, isForcedTakeover)
        client.rateLimiter.acquire(change.size)
        when (val outcome = client.transact(change)) {
            is TransactionOutcome.Applied ->
                takeUp(LeadershipAcquisition(zone, outcome.revision, isForcedTakeover), previous)

            is TransactionOutcome.Conflict -> replica.awaitRevision(outcome.revision, REPLICA_WAIT_MS)

            is TransactionOutcome.Refused -> if (outcome.status == STATUS_BAD_LEASE) storeLease.leaseExpired()

            // If the transaction is applied after all, the record shows this controller's label, and this controller
            // acquires the partition again under a new token.
            is TransactionOutcome.Unknown ->
                log.info("partition={} error=\"{}\" leadership acquisition outcome unknown", zone, outcome.reason)
        }
    }

    /**
     * Takes up an [acquisition] that the store has applied, unless the replica already shows that it has ended: this
     * controller would then process changes that a later leader processes too.
     */
    private fun takeUp(acquisition: LeadershipAcquisition, previous: Snapshot<LeaderRecord>) {
        val zone = acquisition.zone
        val fencingToken = acquisition.fencingToken
        policy.acquired(zone)
        if (leaderRecords.isSuperseded(zone, fencingToken)) {
            log.warn("partition={} fencing_token={} acquisition superseded before its answer", zone, fencingToken)
            return
        }
        log.info(
            "partition={} fencing_token={} incarnation={} forced={} prior_leader={} prior_token={} acquisition applied",
            zone,
            fencingToken,
            record.incarnation,
            acquisition.isForcedTakeover,
            previous.value?.leader,
            previous.version,
        )
        ledPartitions.acquired(acquisition)
    }

    /**
     * Returns the transaction of an acquisition. A forced takeover also writes the marker that makes later leaders wait
     * until the fence of the previous leader has expired.
     */
    private fun acquisition(
        zone: String,
        previous: Snapshot<LeaderRecord>,
        leaseId: Long,
        isForcedTakeover: Boolean,
    ): CompareAndSwap {
        val put = CompareAndSwap.put(previous, encodeRecord(LeaderRecord.serializer(), record), lease = leaseId)
        if (!isForcedTakeover) return put
        return put.alsoPut(StoreKeys.takeoverMarker(zone), JsonPrimitive(record.incarnation))
    }

    private companion object {
        /** The store's status for a transaction with a lease that does not exist in the store. */
        const val STATUS_BAD_LEASE = 400
        const val REPLICA_WAIT_MS = 2_000L
    }
}
