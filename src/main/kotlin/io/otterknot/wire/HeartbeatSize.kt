package io.otterknot.wire

import okio.utf8Size

/**
 * Upper bounds of the sizes of heartbeats and of their parts. A worker reports all tasks on its machine in one
 * heartbeat, whose body may have at most [MAX_BODY_BYTES]; controllers refuse a larger one, and the machine's lease
 * then expires with everything that runs there.
 */
object HeartbeatSize {
    /** What a heartbeat has besides its tasks: four names of up to [MAX_TEXT_LENGTH] characters, numbers and fields. */
    private const val MAX_HEAD_BYTES = 2 * 1024

    /** The bytes that the statuses of all tasks in one heartbeat may take together. */
    const val MAX_STATUSES_BYTES = MAX_BODY_BYTES - MAX_HEAD_BYTES

    /** The longest status without the name of the task, by a worker that writes spaces and escapes the slash. */
    private const val LONGEST_STATUS_WITHOUT_NAME =
        """{"Chore": "\", "Try": 18446744073709551615, "Mood": "exited", "Cause": "stopped", "Saved": false}, """

    /** The number of characters in a slash and the longest index of a task, which is below [MAX_TASKS]. */
    private const val MAX_TASK_INDEX_SUFFIX = "/99999".length

    /** The bytes by which a status may grow when its task exits. */
    const val MAX_STATUS_GROWTH_BYTES = 48

    /** The size of the shortest possible bound of a status; no task takes less. */
    const val MIN_STATUS_BYTES = LONGEST_STATUS_WITHOUT_NAME.length

    /** Returns the most bytes that the status of one task of the job [spec] takes, whatever its state. */
    fun ofStatus(spec: JobSpec): Int = MIN_STATUS_BYTES + spec.id.length + MAX_TASK_INDEX_SUFFIX

    /** Returns the most bytes that the status of a task with the name [taskName] takes, whatever its state. */
    fun ofStatus(taskName: String): Int = MIN_STATUS_BYTES + taskName.utf8Size().toInt()
}
