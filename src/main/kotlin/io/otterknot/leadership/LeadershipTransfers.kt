package io.otterknot.leadership

import io.otterknot.records.StoreKeys
import io.otterknot.store.CompareAndSwap
import io.otterknot.store.KeyValueStoreClient
import io.otterknot.store.Snapshot
import org.slf4j.LoggerFactory

/** A request to [leader] to transfer the leadership of the partition of [zone]. */
class TransferRequest(val zone: String, val leader: String)

/** Evens out how many partitions controllers lead: one that leads none asks one that leads many for one of them. */
internal class LeadershipTransfers(
    private val settings: LeadershipSettings,
    private val client: KeyValueStoreClient,
    private val leaderRecords: LeaderRecords,
    private val ledPartitions: LedPartitionTokens,
    private val policy: AcquisitionPolicy,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger(LeadershipTransfers::class.java)

    /** When a partition was last taken over from this controller although it could act; null if never. */
    private var lastForcedTakeoverMs: Long? = null

    /**
     * A partition was taken over from this controller although it could act: its workers do not reach it, so it
     * requests none for a while.
     */
    fun forcedTakeoverObserved() {
        lastForcedTakeoverMs = nowMs()
    }

    /**
     * Gives the partition of [zone] up for a controller that leads [requesterPartitionCount], if this one leads enough
     * more. It stops acting before the record is removed, so before anybody can acquire the partition.
     */
    suspend fun transfer(zone: String, requesterPartitionCount: Int) {
        val fencingToken = ledPartitions.fencingToken(zone) ?: return
        if (ledPartitions.size < requesterPartitionCount + MIN_PARTITION_DIFFERENCE) return
        log.info("partition={} fencing_token={} leadership transferred", zone, fencingToken)
        ledPartitions.resign(zone)
        client.rateLimiter.acquire(1)
        // If this is lost, the record still shows this controller's label, and it acquires the partition again.
        client.transact(CompareAndSwap.remove(Snapshot(StoreKeys.partition(zone), zone, fencingToken)))
        policy.transferred(zone, nowMs())
    }

    /** The partition that this controller, which leads none, had rather than its busy leader; null if there is none. */
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
        /** How many more partitions than the other a leader must have: a transfer costs its tasks a second or two. */
        const val MIN_PARTITION_DIFFERENCE = 3
        const val PAUSE_AFTER_FORCED_TAKEOVER_MS = 45_000L
    }
}
