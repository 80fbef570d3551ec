package io.otterknot.wire

/** The name of a task on the wire: the id of its job, a slash, and the index of the task in the job. */
data class TaskName(val job: String, val number: Int) {
    override fun toString() = "$job/$number"

    companion object {
        /**
         * @throws MalformedMessageException if [text] is not `JOB/NUMBER` with a number below [MAX_TASKS], or is longer
         *   than [MAX_TEXT_LENGTH]
         */
        fun parse(text: String): TaskName {
            val slash = text.indexOf('/')
            val number = if (slash > 0) text.substring(slash + 1).toIntOrNull() else null
            val isTask = number != null && number in 0 until MAX_TASKS && text.length <= MAX_TEXT_LENGTH
            if (!isTask) throw MalformedMessageException("Chore is not a task")
            return TaskName(text.substring(0, slash), number)
        }
    }
}
