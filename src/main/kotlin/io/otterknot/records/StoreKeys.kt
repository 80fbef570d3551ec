package io.otterknot.records

/** The names under which this service keeps its state. */
object StoreKeys {
    const val ROOT = "o/"
    const val JOBS = "o/j/"
    const val DONE = "o/d/"
    const val PARTITIONS = "o/p/"
    const val MACHINES = "o/m/"
    const val MEANS = "o/s/"
    const val ALLOTMENTS = "o/q/"
    const val OVERRIDES = "o/x/"

    const val AWAITS = "o/w/"

    const val TYPES = "o/t"

    fun job(id: String) = JOBS + id
    fun done(zone: String, segment: String) = "$DONE$zone/$segment"
    fun partition(zone: String) = PARTITIONS + zone
    fun machines(zone: String) = "$MACHINES$zone/"
    fun machines(zone: String, segment: Int) = "$MACHINES$zone/$segment"
    fun awaits(job: String, number: Int) = "$AWAITS$job/$number"
    fun override(zone: String) = OVERRIDES + zone
    fun mean(zone: String) = MEANS + zone
    fun allotment(team: String) = ALLOTMENTS + team
}
