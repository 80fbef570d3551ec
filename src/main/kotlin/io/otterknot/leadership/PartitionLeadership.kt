package io.otterknot.leadership

import io.otterknot.partition.LeadershipConfirmation
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
 * A partition's leader record is attached to this controller's store lease ([StoreLeaseKeeper]) and was written by a
 * conditional transaction ([PartitionAcquirer]). The revision of that transaction is both the record's version and the
 * fencing token that workers receive; it increases with each change of leader. Commands are given only under
 * [actingToken]; transactions are guarded by [leadershipCondition] and need no fence. The safety argument is in
 * `docs/design.md`, "One leader at a time".
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
    /** Until when earlier leaders, whose partitions were taken over by force, may still act. */
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

    /** Until when this controller is known to have been the only leader of its partitions. */
    val confirmation: LeadershipConfirmation get() = storeLease

    val ledPartitionCount: Int get() = ledPartitions.size

    /** The share of all partitions, from 0 to 1, that this controller may act for now. */
    fun ledPartitionShare(): Double =
        if (fence.isValid(nowMs())) ledPartitions.size.toDouble() / settings.zones.size else 0.0

    /** The fencing token of [zone] if this controller may give commands there now, or null if it may not. */
    fun actingToken(zone: String): Long? = ledPartitions.fencingToken(zone)?.takeIf { fence.isValid(nowMs()) }

    /** Whether commands may be given now under the acquisition that [partition] belongs to. */
    fun mayActFor(partition: Partition): Boolean = actingToken(partition.zone) == partition.fencingToken

    /** The fencing token of [zone] whether or not the fence is valid, or null if this controller does not lead it. */
    fun acquiredToken(zone: String): Long? = ledPartitions.fencingToken(zone)

    /** The condition that guards a transaction of the leader of [zone], or null if this controller does not lead it. */
    fun leadershipCondition(zone: String): VersionCondition? =
        ledPartitions.fencingToken(zone)?.let { VersionCondition(StoreKeys.partition(zone), it) }

    /**
     * The label of the controller that leads the partition of [zone], as the replica shows it, or null if none does.
     */
    fun leaderOf(zone: String): String? = leaderRecords.leaderOf(zone)

    /** Whether the leader of [zone] seems unresponsive to its workers. */
    fun isLeaderSuspected(zone: String): Boolean = failureDetector.isLeaderSuspected(zone, nowMs())

    /** Grants, renews and confirms the store lease until cancelled. */
    suspend fun keepStoreLease() = storeLease.keep()

    /**
     * Acquires partitions until cancelled, but only while the fence is valid: the guarantee of the fence then also
     * holds for an acquisition that is based on a stale replica.
     */
    suspend fun acquirePartitions() {
        while (true) {
            val leaseId = storeLease.leaseId
            if (leaseId != null && mayAcquire()) {
                for (zone in settings.zones) acquirer.acquireIfDue(zone, leaseId)
            }
            delay(ACQUISITION_PERIOD_MS)
        }
    }

    /** See [LeadershipTransfers.transfer]. */
    suspend fun transferLeadership(zone: String, requesterPartitionCount: Int) =
        transfers.transfer(zone, requesterPartitionCount)

    /** The transfer that this controller should request from another one, or null if it needs none. */
    fun nextTransferRequest(): TransferRequest? = if (fence.isValid(nowMs())) transfers.nextRequest() else null

    /** Called when a worker or a failed condition has shown that another controller leads the partition of [zone]. */
    fun leadershipLost(zone: String) = ledPartitions.lost(zone)

    /**
     * Called when a machine reports here and is redirected to the leader of its partition. It has left that leader if
     * it is registered and sends the leader's [fencingToken]. A machine that sends a lower token, as all machines of a
     * zone do after the zone was isolated, is only looking for its leader.
     */
    fun workerRedirected(zone: String, machine: String, fencingToken: Long) {
        val hasLeftLeader = machine in host.registeredMachines(zone) && fencingToken == leaderRecords.version(zone)
        failureDetector.workerRedirected(zone, machine, hasLeftLeader, nowMs())
    }

    /**
     * Called when the replica shows a change of the leader record of [zone]; [version] is null if the record was
     * removed. The replica shows changes in their order, so this controller serves no job or reassignment that was
     * written after another controller's acquisition.
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
