package io.otterknot.records

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Cores and GPUs of a quota. */
@Serializable
data class QuotaAmount(@SerialName("c") val cores: Double = 0.0, @SerialName("g") val gpus: Double = 0.0) {
    operator fun plus(other: QuotaAmount) = QuotaAmount(cores + other.cores, gpus + other.gpus)
    operator fun minus(other: QuotaAmount) = QuotaAmount(cores - other.cores, gpus - other.gpus)
}

/**
 * How a team's quota limit is divided among the partitions. The sum never changes: a partition gives of its own share,
 * in one transaction.
 */
@Serializable
data class QuotaSharesRecord(@SerialName("z") val byZone: Map<String, QuotaAmount>) {
    /** Throws [IllegalArgumentException] if [amount] is more than the share of [from]. */
    fun transferred(from: String, to: String, amount: QuotaAmount): QuotaSharesRecord {
        val remaining = byZone.getValue(from) - amount
        require(remaining.cores >= 0 && remaining.gpus >= 0) { "$amount is more than the quota share of zone $from" }
        return QuotaSharesRecord(byZone + (from to remaining) + (to to (byZone[to] ?: QuotaAmount()) + amount))
    }

    companion object {
        /** The share of each partition in a limit of 0, which means: no limit. */
        const val UNLIMITED = 1e12

        /** Equal shares, which hold until something has been transferred. */
        fun even(zones: List<String>, maxCores: Double, maxGpus: Double): QuotaSharesRecord {
            fun share(max: Double) = if (max > 0) max / zones.size else UNLIMITED
            return QuotaSharesRecord(zones.associateWith { QuotaAmount(share(maxCores), share(maxGpus)) })
        }
    }
}
