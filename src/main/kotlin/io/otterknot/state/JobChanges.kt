package io.otterknot.state

import io.otterknot.wire.Change

/** What one value and one transaction may hold. */
class ValueLimits(val valueBytes: Int, val txnOps: Int, val txnBytes: Int = TXN_BYTES) {
    private companion object {
        /** Of 64 KiB; names and what is put around the values take the rest. */
        const val TXN_BYTES = 56 * 1024
    }
}

/** The changes that bring a job in and that end it. */
object JobChanges {
    /**
     * The job's own key and, if the jobs that it awaits do not fit there, keys with those; all in one transaction, so
     * that it is never there without them. Null: more than a transaction holds.
     */
    fun accept(key: String, record: JobRecord, limits: ValueLimits): List<Change>? {
        fun put(record: JobRecord) = Change(put = key, value = encodeRecord(JobRecord.serializer(), record))
        fun fits(change: Change) = change.value.toString().length <= limits.valueBytes
        val whole = put(record)
        if (fits(whole)) return listOf(whole)
        val spec = record.spec ?: return null
        val pieces = pieces(spec.awaits ?: return null, limits.valueBytes)
        val main = put(record.copy(spec = spec.copy(awaits = null), awaitKeys = pieces.size))
        val changes =
            pieces.mapIndexed { number, piece ->
                Change(put = Keys.awaits(spec.id, number), value = encodeRecord(AwaitsRecord.serializer(), piece))
            } +
                main
        val bytes = changes.sumOf { it.key.length + it.value.toString().length }
        return changes.takeIf { fits(main) && it.size <= limits.txnOps && bytes <= limits.txnBytes }
    }

    private fun pieces(jobs: List<String>, valueBytes: Int): List<AwaitsRecord> {
        val pieces = ArrayList<AwaitsRecord>()
        var piece = ArrayList<String>()
        var bytes = AROUND
        for (job in jobs) {
            if (bytes + job.length > valueBytes && piece.isNotEmpty()) {
                pieces.add(AwaitsRecord.of(piece))
                piece = ArrayList()
                bytes = AROUND
            }
            piece.add(job)
            bytes += job.length
        }
        return pieces + AwaitsRecord.of(piece)
    }

    /** A job's final state; what it needed besides goes with the same transaction. */
    fun end(job: Job, final: Final, wallMs: Long): List<Change> {
        val record = JobRecord(final = final, tasks = job.spec?.tasks ?: job.record?.tasks ?: 0, endedMs = wallMs)
        val rest = List(job.record?.awaitKeys ?: 0) { Change(remove = Keys.awaits(job.id, it)) }
        return listOf(Change(put = Keys.job(job.id), value = encodeRecord(JobRecord.serializer(), record))) + rest
    }

    /** `{"i":""}` and a little more. */
    private const val AROUND = 16
}
