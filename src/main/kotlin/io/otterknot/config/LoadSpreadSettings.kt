package io.otterknot.config

/** How far load spread (package `rebalance`) goes. */
enum class LoadSpreadMode {
    /** Nothing of it runs. */
    OFF,

    /** It measures and plans, logs its plans, and changes nothing. */
    OBSERVE,

    /** It carries its plans out. */
    ACT,
}

/** The section `load-spread` of the operators' file. */
data class LoadSpreadSettings(
    val mode: LoadSpreadMode = LoadSpreadMode.OFF,
    /** Whether pending tasks are reassigned by the wait that they would save; else by the mean loads alone. */
    val reassignsTasks: Boolean = true,
    /** Whether work within a team's guaranteed quota goes first, and work of teams above theirs is preempted for it. */
    val guarantees: Boolean = true,
    /** Whether tasks on machines that are being emptied are stopped where they end sooner elsewhere. */
    val drains: Boolean = true,
    /**
     * Whether work within a guaranteed quota goes before more urgent work of teams above theirs, which may be preempted
     * for it; else only before work, and for work, that is no more urgent.
     */
    val anyPriority: Boolean = false,
    val planEveryS: Double = 1.0,
    /** The least gain of a move, in seconds. */
    val marginS: Double = 3.0,
    /** How long a reassignment takes until the task may start, in seconds. */
    val reassignmentDelayS: Double = 2.0,
    /** What a second of fetching counts, against one of waiting: it holds the task's cores. */
    val fetchWeight: Double = 1.0,
    /** What a second of lost work counts, against one of waiting. */
    val lostWorkWeight: Double = 1.5,
    /** How long a job's tasks stay where they were reassigned to, in seconds. */
    val returnAfterS: Double = 30.0,
    /** How long a task that was stopped is not stopped again, in seconds. */
    val taskCooldownS: Double = 120.0,
    /** How long work within a guaranteed quota waits before other work is preempted for it, in seconds. */
    val patienceS: Double = 1.5,
    /** A task that ends sooner than this is not stopped: its room comes by itself. */
    val leastRemainingS: Double = 4.0,
    val reassignmentsPerPlan: Int = 3,
    /** Of the tasks that run in a partition, how many may be being stopped at a time. */
    val partitionStopShare: Double = 0.05,
    /** The same of one team's tasks there. */
    val teamStopShare: Double = 0.1,
    /** The same of one job's tasks there. */
    val jobStopShare: Double = 0.25,
    /** Of a partition's core-seconds, how many may be thrown away by stops. */
    val lostWorkShare: Double = 0.05,
    /** How many waiting jobs a plan looks at. */
    val examinedJobs: Int = 64,
    /** How many machines a plan looks at for tasks to stop. */
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
