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
 * The shares of the partitions in a team's quota limit. Their sum never changes: a partition transfers part of its own
 * share to another in one transaction.
 */
@Serializable
data class QuotaSharesRecord(@SerialName("z") val byZone: Map<String, QuotaAmount>) {
    /**
     * Returns the shares after a transfer of [amount]. Throws [IllegalArgumentException] if [amount] exceeds the share
     * of [from].
     */
    fun transferred(from: String, to: String, amount: QuotaAmount): QuotaSharesRecord {
        val remaining = byZone.getValue(from) - amount
        require(remaining.cores >= 0 && remaining.gpus >= 0) {
            "transfer of $amount exceeds the quota share of zone $from"
        }
        return QuotaSharesRecord(byZone + (from to remaining) + (to to (byZone[to] ?: QuotaAmount()) + amount))
    }

    companion object {
        /** The share of each partition if the quota limit is 0, which means that there is no limit. */
        const val UNLIMITED = 1e12

        /** Returns equal shares, which apply until the first transfer. */
        fun even(zones: List<String>, maxCores: Double, maxGpus: Double): QuotaSharesRecord {
            fun share(max: Double) = if (max > 0) max / zones.size else UNLIMITED
            return QuotaSharesRecord(zones.associateWith { QuotaAmount(share(maxCores), share(maxGpus)) })
        }
    }
}
