package io.otterknot.config

/** What load spread (package `rebalance`) does. */
enum class LoadSpreadMode {
    /** Load spread does not run. */
    OFF,

    /** Load spread measures the load, plans moves and logs the plans, but moves nothing. */
    OBSERVE,

    /** Load spread carries out its plans. */
    ACT,
}

/** The section `load-spread` of the operators' file. Weights are relative to one second of waiting. */
data class LoadSpreadSettings(
    val mode: LoadSpreadMode = LoadSpreadMode.OFF,
    /** Whether pending tasks are reassigned if that shortens their wait; if false, only the mean loads decide. */
    val reassignsTasks: Boolean = true,
    /** Whether work within a team's guaranteed quota goes first, and work of teams above theirs is preempted for it. */
    val guarantees: Boolean = true,
    /** Whether tasks on draining machines are stopped if they would complete sooner on another machine. */
    val drains: Boolean = true,
    /**
     * Whether work within a guaranteed quota has precedence over work of a higher priority of teams above their quota,
     * and may preempt it. If false, it has precedence over, and may preempt, only work of the same or a lower priority.
     */
    val anyPriority: Boolean = false,
    val planEveryS: Double = 1.0,
    /** The minimum gain of a move, in seconds. */
    val marginS: Double = 3.0,
    /** The time from a reassignment until the task may start, in seconds. */
    val reassignmentDelayS: Double = 2.0,
    /** The cost of a second of fetching, which occupies the task's cores. */
    val fetchWeight: Double = 1.0,
    /** The cost of a second of lost work. */
    val lostWorkWeight: Double = 1.5,
    /** The time after a reassignment during which a job is not reassigned again, in seconds. */
    val returnAfterS: Double = 30.0,
    /** The time after a stop during which the same task is not stopped again, in seconds. */
    val taskCooldownS: Double = 120.0,
    /** The time that work within a guaranteed quota waits before other work is preempted for it, in seconds. */
    val patienceS: Double = 1.5,
    /** A task that completes within this time, in seconds, is not stopped: its capacity becomes free soon anyway. */
    val leastRemainingS: Double = 4.0,
    val reassignmentsPerPlan: Int = 3,
    /** The maximum share of the running tasks of a partition that may be in the process of being stopped. */
    val partitionStopShare: Double = 0.05,
    /** The maximum share of one team's running tasks of a partition that may be in the process of being stopped. */
    val teamStopShare: Double = 0.1,
    /** The maximum share of one job's running tasks of a partition that may be in the process of being stopped. */
    val jobStopShare: Double = 0.25,
    /** The maximum share of a partition's core-seconds that may be lost through stops. */
    val lostWorkShare: Double = 0.05,
    /** The maximum number of waiting jobs that a plan examines. */
    val examinedJobs: Int = 64,
    /** The maximum number of machines that a plan examines for tasks to stop. */
    val sampledMachines: Int = 128,
) {
    val isOn: Boolean get() = mode != LoadSpreadMode.OFF

    internal companion object {
        const val SECTION = "load-spread"
        private val SECONDS = 0.0..3_600.0
        private val WEIGHT = 0.0..100.0
        private val SHARE = 0.0..1.0
        private val COUNT = 1..100_000

        fun read(section: SettingsSection): LoadSpreadSettings {
            val default = LoadSpreadSettings()
            return LoadSpreadSettings(
                mode = section.choice("mode", default.mode, LoadSpreadMode.entries),
                reassignsTasks = section.flag("hand-overs", default.reassignsTasks),
                guarantees = section.flag("guarantees", default.guarantees),
                drains = section.flag("drains", default.drains),
                anyPriority = section.flag("any-priority", default.anyPriority),
                planEveryS = section.number("plan-every-s", default.planEveryS, 0.2..60.0),
                marginS = section.number("margin-s", default.marginS, SECONDS),
                reassignmentDelayS = section.number("hand-over-delay-s", default.reassignmentDelayS, SECONDS),
                fetchWeight = section.number("fetch-weight", default.fetchWeight, WEIGHT),
                lostWorkWeight = section.number("lost-work-weight", default.lostWorkWeight, WEIGHT),
                returnAfterS = section.number("return-after-s", default.returnAfterS, SECONDS),
                taskCooldownS = section.number("task-cooldown-s", default.taskCooldownS, SECONDS),
                patienceS = section.number("patience-s", default.patienceS, SECONDS),
                leastRemainingS = section.number("least-remaining-s", default.leastRemainingS, SECONDS),
                reassignmentsPerPlan = section.count("hand-overs-per-plan", default.reassignmentsPerPlan, COUNT),
                partitionStopShare = section.number("partition-stop-share", default.partitionStopShare, SHARE),
                teamStopShare = section.number("team-stop-share", default.teamStopShare, SHARE),
                jobStopShare = section.number("job-stop-share", default.jobStopShare, SHARE),
                lostWorkShare = section.number("lost-work-share", default.lostWorkShare, SHARE),
                examinedJobs = section.count("examined-jobs", default.examinedJobs, COUNT),
                sampledMachines = section.count("sampled-machines", default.sampledMachines, COUNT),
            )
        }
    }
}
