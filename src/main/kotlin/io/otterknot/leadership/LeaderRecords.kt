package io.otterknot.leadership

import io.otterknot.records.LeaderRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.decodeRecord
import io.otterknot.store.Snapshot
import io.otterknot.store.StoreReplica

/**
 * The leader records of all partitions in the replica, which may lag behind the store but never returns to an older
 * state.
 */
internal class LeaderRecords(private val replica: StoreReplica) {
    /** The record of [zone] with its version, without a value if the partition has no leader. */
    fun snapshot(zone: String): Snapshot<LeaderRecord> =
        replica.snapshot(StoreKeys.partition(zone)).map { decodeRecord(LeaderRecord.serializer(), it) }

    /** The label of the controller that leads the partition of [zone], or null if none does. */
    fun leaderOf(zone: String): String? = snapshot(zone).value?.leader

    /** The version of the record of [zone], which is the leader's fencing token, or null if there is no leader. */
    fun version(zone: String): Long? = replica[StoreKeys.partition(zone)]?.version

    /**
     * Whether the replica shows that the acquisition under [fencingToken] has ended. The replica may lag behind the
     * acquisition, so only a newer record, or no record at a later revision, shows that.
     */
    fun isSuperseded(zone: String, fencingToken: Long): Boolean {
        val shown = version(zone) ?: return replica.revision >= fencingToken
        return shown > fencingToken
    }
}
