package io.otterknot.leadership

import io.otterknot.partition.Partition
import io.otterknot.records.LeaderRecord
import io.otterknot.records.StoreKeys
import io.otterknot.store.KeyValueStoreClient
import io.otterknot.store.StoreReplica
import io.otterknot.wire.VersionCondition
import kotlinx.coroutines.delay
import kotlin.random.Random

/**
 * Which partitions this controller leads, and until when it may act for them.
 *
 * A partition's leader record depends on this controller's store lease ([StoreLeaseKeeper]) and was put by a guarded
 * transaction ([PartitionAcquirer]), whose revision is both the record's version and the fencing token that workers are
 * shown: it rises with each change of leader. Commands are given only under [actingToken]; transactions are guarded by
 * [leadershipCondition] and need no fence. The safety argument is in `docs/design.md`, "One leader at a time".
 */
class PartitionLeadership(
    private val settings: LeadershipSettings,
    client: KeyValueStoreClient,
    private val replica: StoreReplica,
    private val host: LeadershipHost,
    listener: LeadershipListener,
    private val nowMs: () -> Long,
    random: Random,
) {
    /** Which earlier leaders, whose partitions were taken over, may still act. */
    val takeoverMarkers = TakeoverMarkers(settings.storeLeaseTtlMs, nowMs)

    private val record = LeaderRecord(settings.label, random.nextLong().toULong().toString(INCARNATION_RADIX))
    private val fence = Fence(settings.storeLeaseTtlMs)
    private val leaderRecords = LeaderRecords(replica)
    private val ledPartitions = LedPartitionTokens(listener)
    private val failureDetector =
        LeaderFailureDetector(settings.domains.size, random) { host.registeredMachines(it).size }
    private val policy = AcquisitionPolicy(settings, failureDetector)
    private val storeLease = StoreLeaseKeeper(client, replica, ledPartitions, fence, nowMs, random)
    private val acquirer = PartitionAcquirer(record, client, replica, storeLease, ledPartitions, policy, nowMs)
    private val transfers = LeadershipTransfers(settings, client, leaderRecords, ledPartitions, policy, nowMs)

    val ledPartitionCount: Int get() = ledPartitions.size

    /** Of all partitions, the share from 0 to 1 that this controller may act for now. */
    fun ledPartitionShare(): Double =
        if (fence.isValid(nowMs())) ledPartitions.size.toDouble() / settings.zones.size else 0.0

    /** The fencing token of [zone] if this controller may give commands there now; null if it may not. */
    fun actingToken(zone: String): Long? = ledPartitions.fencingToken(zone)?.takeIf { fence.isValid(nowMs()) }

    /** Whether commands may be given now under the acquisition that [partition] belongs to. */
    fun mayActFor(partition: Partition): Boolean = actingToken(partition.zone) == partition.fencingToken

    /** The fencing token of [zone] whether or not the fence is valid; null if this controller does not lead it. */
    fun acquiredToken(zone: String): Long? = ledPartitions.fencingToken(zone)

    /** Guards a transaction of the leader of [zone]; null if this controller does not lead it. */
    fun leadershipCondition(zone: String): VersionCondition? =
        ledPartitions.fencingToken(zone)?.let { VersionCondition(StoreKeys.partition(zone), it) }

    /** The label of the controller that leads the partition of [zone], as the replica shows it; null if none does. */
    fun leaderOf(zone: String): String? = leaderRecords.leaderOf(zone)

    /** Whether the leader of [zone] seems not to answer its workers. */
    fun isLeaderSuspected(zone: String): Boolean = failureDetector.isLeaderSuspected(zone, nowMs())

    /** Keeps the store lease until cancelled. */
    suspend fun keepStoreLease() = storeLease.keep()

    /**
     * Acquires partitions until cancelled. Only while the fence is valid: an acquisition on a stale replica then is no
     * exception to what the fence promises.
     */
    suspend fun acquirePartitions() {
        while (true) {
            val leaseId = storeLease.leaseId
            if (leaseId != null && mayAcquire()) {
                for (zone in settings.zones) acquirer.consider(zone, leaseId)
            }
            delay(ACQUISITION_PERIOD_MS)
        }
    }

    /** See [LeadershipTransfers.transfer]. */
    suspend fun transferLeadership(zone: String, requesterPartitionCount: Int) =
        transfers.transfer(zone, requesterPartitionCount)

    /** The partition that this controller should ask another one for; null if there is none. */
    fun nextTransferRequest(): TransferRequest? = if (fence.isValid(nowMs())) transfers.nextRequest() else null

    /** A worker or a failed guard has shown that somebody else leads the partition of [zone]. */
    fun leadershipLost(zone: String) = ledPartitions.lost(zone)

    /**
     * A machine reports here and is redirected to the leader of its partition. It has left that leader if it was with
     * it, and then it shows the leader's [fencingToken]: one that shows a lower token, as a whole zone does that was
     * cut off, only looks for its leader.
     */
    fun workerRedirected(zone: String, machine: String, fencingToken: Long) {
        val hasLeftLeader = machine in host.registeredMachines(zone) && fencingToken == leaderRecords.version(zone)
        failureDetector.workerRedirected(zone, machine, hasLeftLeader, nowMs())
    }

    /**
     * The replica shows a change of the leader record of [zone], null for a removed one. It shows that before any later
     * change, so no job or reassignment that is written after another controller's acquisition is served here.
     */
    fun leaderRecordChanged(zone: String, version: Long?) {
        failureDetector.leaderChanged(zone, nowMs())
        val ownToken = ledPartitions.fencingToken(zone) ?: return
        if (version == null || version <= ownToken) return
        if (fence.isValid(nowMs())) transfers.forcedTakeoverObserved()
        ledPartitions.lost(zone)
    }

    private fun mayAcquire(): Boolean = replica.isLoaded && fence.isValid(nowMs()) && host.canServePartitions

    private companion object {
        const val ACQUISITION_PERIOD_MS = 250L
        const val INCARNATION_RADIX = 36
    }
}
