package io.otterknot.leadership

import io.otterknot.records.LeaderRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.decodeRecord
import io.otterknot.store.Snapshot
import io.otterknot.store.StoreReplica

/** The leader records of all partitions, as the replica shows them: it may lag behind the store, and never goes back. */
internal class LeaderRecords(private val replica: StoreReplica) {
    /** The record of [zone] with its version; without a value if nobody leads the partition. */
    fun snapshot(zone: String): Snapshot<LeaderRecord> =
        replica.snapshot(StoreKeys.partition(zone)).map { decodeRecord(LeaderRecord.serializer(), it) }

    /** The label of the controller that leads the partition of [zone]; null if none does. */
    fun leaderOf(zone: String): String? = snapshot(zone).value?.leader

    /** The version of the record of [zone], which is the leader's fencing token; null if nobody leads the partition. */
    fun version(zone: String): Long? = replica[StoreKeys.partition(zone)]?.version

    /**
     * Whether the record shows that an acquisition under [fencingToken] is over. The replica may lag behind the
     * acquisition, so only a newer record, or none after it, says so.
     */
    fun isSuperseded(zone: String, fencingToken: Long): Boolean {
        val shown = version(zone) ?: return replica.revision >= fencingToken
        return shown > fencingToken
    }
}
