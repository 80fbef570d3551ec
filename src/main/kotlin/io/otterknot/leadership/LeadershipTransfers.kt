package io.otterknot.leadership

import io.otterknot.records.StoreKeys
import io.otterknot.store.CompareAndSwap
import io.otterknot.store.KeyValueStoreClient
import io.otterknot.store.Snapshot
import org.slf4j.LoggerFactory

/** A request to [leader] to transfer the leadership of the partition of [zone]. */
class TransferRequest(val zone: String, val leader: String)

/** Balances how many partitions controllers lead: one that leads none requests a partition from one that leads many. */
internal class LeadershipTransfers(
    private val settings: LeadershipSettings,
    private val client: KeyValueStoreClient,
    private val leaderRecords: LeaderRecords,
    private val ledPartitions: LedPartitionTokens,
    private val policy: AcquisitionPolicy,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger(LeadershipTransfers::class.java)

    /** When a partition was last taken over from this controller while its fence was valid, or null if never. */
    private var lastForcedTakeoverMs: Long? = null

    /**
     * Records that a partition was taken over from this controller while its fence was valid. Its workers do not reach
     * it, so it requests no partition for a while.
     */
    fun forcedTakeoverObserved() {
        lastForcedTakeoverMs = nowMs()
    }

    /**
     * Transfers the partition of [zone] to a controller that leads [requesterPartitionCount] partitions, if this one
     * leads enough more. This controller stops acting before it removes the leader record, so before another controller
     * can acquire the partition.
     */
    suspend fun transfer(zone: String, requesterPartitionCount: Int) {
        val fencingToken = ledPartitions.fencingToken(zone) ?: return
        if (ledPartitions.size < requesterPartitionCount + MIN_PARTITION_DIFFERENCE) return
        log.info("partition={} fencing_token={} leadership transferred", zone, fencingToken)
        ledPartitions.resign(zone)
        client.rateLimiter.acquire(1)
        // If the transaction is not applied, the record still shows this controller's label, and this controller
        // acquires the partition again.
        client.transact(CompareAndSwap.remove(Snapshot(StoreKeys.partition(zone), zone, fencingToken)))
        policy.transferred(zone, nowMs())
    }

    /** The transfer that this controller should request from a leader of many partitions, or null if it needs none. */
    fun nextRequest(): TransferRequest? {
        if (ledPartitions.size > 0 || wasRecentlyTakenOver()) return null
        val requests = settings.zones.mapNotNull { zone ->
            leaderRecords.leaderOf(zone)?.let { TransferRequest(zone, it) }
        }
        val request = requests.groupBy { it.leader }.values
            .filter { it.size >= MIN_PARTITION_DIFFERENCE }
            .flatten()
            .minByOrNull { settings.acquisitionRank(it.zone) }
            ?: return null
        policy.transferRequested(request.zone, nowMs())
        return request
    }

    private fun wasRecentlyTakenOver(): Boolean =
        lastForcedTakeoverMs?.let { nowMs() - it < PAUSE_AFTER_FORCED_TAKEOVER_MS } ?: false

    private companion object {
        /** How many more partitions than the requester a leader must have: a transfer delays its tasks by 1 to 2 s. */
        const val MIN_PARTITION_DIFFERENCE = 3
        const val PAUSE_AFTER_FORCED_TAKEOVER_MS = 45_000L
    }
}
