package io.otterknot.state

/** The names under which this service keeps its state. */
object Keys {
    const val ROOT = "o/"
    const val JOBS = "o/j/"
    const val DONE = "o/d/"
    const val PARTS = "o/p/"
    const val MACHINES = "o/m/"
    const val MEANS = "o/s/"
    const val ALLOTMENTS = "o/q/"

    const val TYPES = "o/t"

    fun job(id: String) = JOBS + id
    fun done(job: String, zone: String, chunk: Int) = "$DONE$job/$zone/$chunk"
    fun part(zone: String) = PARTS + zone
    fun machine(zone: String, machine: String) = "$MACHINES$zone/$machine"
    fun mean(zone: String) = MEANS + zone
    fun allotment(team: String) = ALLOTMENTS + team
}
