package io.otterknot.records

/** The keys of the store under which the controllers keep their state. They are a stored format: see docs/design.md. */
object StoreKeys {
    /** Prefix of every key. */
    const val ROOT = "o/"

    /** Prefix of the [JobRecord]s. */
    const val JOBS = "o/j/"

    /** Prefix of the [DependencySegmentRecord]s. */
    const val DEPENDENCIES = "o/w/"

    /** Prefix of the [CompletionSegmentRecord]s. */
    const val COMPLETIONS = "o/d/"

    /** Prefix of the [LeaderRecord]s; the version of such a key is the partition's fencing token. */
    const val PARTITIONS = "o/p/"

    /** Prefix of the [takeoverMarker]s. */
    const val TAKEOVERS = "o/x/"

    /** Prefix of the [MachineSegmentRecord]s. */
    const val MACHINES = "o/m/"

    /** Prefix of the [PartitionLoadRecord]s. */
    const val PARTITION_LOADS = "o/s/"

    /** Prefix of the [QuotaSharesRecord]s. */
    const val QUOTA_SHARES = "o/q/"

    /** The key of the machine types that the cloud offers. */
    const val MACHINE_TYPES = "o/t"

    fun job(id: String) = JOBS + id

    fun dependencySegment(job: String, segment: Int) = "$DEPENDENCIES$job/$segment"

    /**
     * The key of a completion segment. [segment] consists of the fencing token of the leader that wrote it and a
     * number; if it is empty, the result is the prefix of all completion segments of [zone].
     */
    fun completionSegment(zone: String, segment: String) = "$COMPLETIONS$zone/$segment"

    fun partition(zone: String) = PARTITIONS + zone

    /** The key that exists after a forced takeover for as long as the previous leader may still act. */
    fun takeoverMarker(zone: String) = TAKEOVERS + zone

    /** Prefix of the machine segments of [zone]. */
    fun machineSegments(zone: String) = "$MACHINES$zone/"

    fun machineSegment(zone: String, segment: Int) = "$MACHINES$zone/$segment"

    fun partitionLoad(zone: String) = PARTITION_LOADS + zone

    fun quotaShares(team: String) = QUOTA_SHARES + team
}
