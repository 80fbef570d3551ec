package io.otterknot.state

import io.otterknot.wire.Change

/** The changes that bring a job in and that end it. */
object JobChanges {
    /**
     * The job's own key and, if the jobs that it awaits do not fit there, keys with those; all in one transaction, so
     * that it is never there without them. Null: more than a transaction holds.
     */
    fun accept(key: String, record: JobRecord, limits: WriteLimits): List<Change>? {
        fun put(record: JobRecord) = Change(put = key, value = encodeRecord(JobRecord.serializer(), record))
        val whole = put(record)
        if (limits.fits(whole)) return listOf(whole)
        val spec = record.spec ?: return null
        val pieces = pieces(spec.awaits ?: return null, limits.valueBytes)
        val main = put(record.copy(spec = spec.copy(awaits = null), awaitKeys = pieces.size))
        val lists = pieces.mapIndexed { number, piece ->
            Change(put = Keys.awaits(spec.id, number), value = encodeRecord(AwaitsRecord.serializer(), piece))
        }
        val changes = lists + main
        val bytes = changes.sumOf { it.key.length + it.valueBytes }
        return changes.takeIf { limits.fits(main) && it.size <= limits.txnOps && bytes <= limits.txnBytes }
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

    /**
     * A job's final state. The keys with what it awaited go with the same transaction, as far as it may hold them;
     * what is left of them says nothing any more, since the job is final.
     */
    fun end(job: Job, final: Final, wallMs: Long, limits: WriteLimits): List<Change> {
        val tasks = job.spec?.tasks ?: job.record?.tasks ?: 0
        val record = JobRecord(final = final, tasks = tasks, endedMs = wallMs)
        val put = Change(put = Keys.job(job.id), value = encodeRecord(JobRecord.serializer(), record))
        val lists = minOf(job.record?.awaitKeys ?: 0, limits.txnOps - 1)
        return listOf(put) + List(lists) { Change(remove = Keys.awaits(job.id, it)) }
    }

    /** `{"i":""}` and a little more. */
    private const val AROUND = 16
}
