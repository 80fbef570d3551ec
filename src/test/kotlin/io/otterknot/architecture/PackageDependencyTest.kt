package io.otterknot.architecture

import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Checks on the compiled classes that packages have no cyclic dependencies and use only the packages allowed below. */
class PackageDependencyTest {
    @Test
    fun `packages have no cyclic dependencies`() {
        assertTrue(classes.size > 100, "found the classes")
        slices().matching("$ROOT.(*)..").should().beFreeOfCycles().check(classes)
    }

    @Test
    fun `every package is in the table`() {
        val found = classes.mapNotNull { packageOf(it.packageName) }.toSet()
        assertEquals(PACKAGES.map(PackageEntry::name).toSet(), found)
    }

    @Test
    fun `a package uses only the packages that the table allows`() {
        val forbidden = usesBetweenPackages().filterNot { (edge, _) -> edge.used in allowedFor(edge.user) }
        val examples = forbidden.map { (edge, descriptions) -> "$edge: ${descriptions.first()}" }
        assertEquals(emptyList<String>(), examples, "uses that the table does not allow")
    }

    private fun allowedFor(name: String): Set<String> = PACKAGES.single { it.name == name }.mayUse

    /** Maps each pair of a package and another package that it uses to the descriptions of these uses. */
    private fun usesBetweenPackages(): Map<Edge, List<String>> {
        val uses = HashMap<Edge, MutableList<String>>()
        for (dependency in classes.flatMap { it.directDependenciesFromSelf }) {
            val user = packageOf(dependency.originClass.packageName)
            val used = packageOf(dependency.targetClass.baseComponentType.packageName)
            if (user == null || used == null || user == used) continue
            uses.getOrPut(Edge(user, used)) { ArrayList() }.add(dependency.description)
        }
        return uses
    }

    /** Returns the name of the package directly below [ROOT], or null if [fullName] is outside [ROOT]. */
    private fun packageOf(fullName: String): String? =
        if (fullName.startsWith("$ROOT.")) fullName.removePrefix("$ROOT.").substringBefore('.') else null

    private data class Edge(val user: String, val used: String) {
        override fun toString() = "$user -> $used"
    }

    /** [purpose] is the purpose of the package in one sentence, [mayUse] the packages that it may use. */
    private data class PackageEntry(val name: String, val purpose: String, val mayUse: Set<String>)

    private companion object {
        const val ROOT = "io.otterknot"

        val classes: JavaClasses = ClassFileImporter()
            .withImportOption(ImportOption.DoNotIncludeTests())
            .importPackages(ROOT)

        /** Creates an entry; [mayUse] lists package names, separated by spaces. */
        fun entry(name: String, purpose: String, mayUse: String = "") =
            PackageEntry(name, purpose, mayUse.split(' ').filter(String::isNotEmpty).toSet())

        /** The packages from the lowest layer to the highest. Keep this order when a package changes its layer. */
        val PACKAGES = listOf(
            entry(
                "wire",
                "Wire format of the messages of workers, jobs and the cloud.",
            ),
            entry(
                "ratelimit",
                "Spends this controller's share of the rate limits of the key-value store and the cloud.",
            ),
            entry(
                "metrics",
                "Counters and latency histograms of a controller.",
            ),
            entry(
                "time",
                "Constants of the monotonic clock that several packages share.",
            ),
            entry(
                "net",
                "The event loop of the process, its sockets and timers.",
            ),
            entry(
                "config",
                "Reads and checks the settings files, and reloads the operators' file when it changes.",
                mayUse = "net",
            ),
            entry(
                "records",
                "Keys and values kept in the key-value store.",
                mayUse = "wire",
            ),
            entry(
                "http",
                "HTTP client and server.",
                mayUse = "net wire",
            ),
            entry(
                "cloud",
                "Client of the cloud's machine API.",
                mayUse = "http ratelimit wire",
            ),
            entry(
                "store",
                "Client of the key-value store, and the replica of its contents.",
                mayUse = "http metrics ratelimit records wire",
            ),
            entry(
                "jobs",
                "The jobs of all partitions and their transitions.",
                mayUse = "records store wire",
            ),
            entry(
                "scheduling",
                "Chooses machines and partitions for tasks.",
                mayUse = "config jobs records wire",
            ),
            entry(
                "partition",
                "The state of one partition: its machines, tasks and their heartbeats.",
                mayUse = "jobs records scheduling wire",
            ),
            entry(
                "leadership",
                "Acquires, renews and loses the leadership of partitions.",
                mayUse = "partition ratelimit records store wire",
            ),
            entry(
                "peer",
                "Messages between controllers.",
                mayUse = "config http net partition scheduling store wire",
            ),
            entry(
                "quota",
                "Divides each team's quota between the partitions.",
                mayUse = "config leadership partition records scheduling store",
            ),
            entry(
                "reassignment",
                "Reassigns pending tasks to another partition.",
                mayUse = "jobs leadership partition scheduling store wire",
            ),
            entry(
                "rebalance",
                "Spreads the load of teams over partitions by planned moves of tasks.",
                mayUse = "config jobs partition reassignment records scheduling wire",
            ),
            entry(
                "heartbeat",
                "Endpoint of the workers' heartbeats.",
                mayUse = "http leadership partition wire",
            ),
            entry(
                "api",
                "Endpoint of job submissions, cancellations and status.",
                mayUse = "config http jobs partition ratelimit records scheduling store wire",
            ),
            entry(
                "autoscaling",
                "Scales the machines of a partition out and in.",
                mayUse = "cloud leadership partition scheduling wire",
            ),
            entry(
                "controller",
                "Creates the parts of a controller and runs it.",
                mayUse = "api autoscaling cloud config heartbeat http jobs leadership metrics net partition peer " +
                    "quota ratelimit reassignment rebalance records scheduling store wire",
            ),
            entry(
                "cli",
                "Commands, arguments and exit codes.",
                mayUse = "config controller http metrics net peer rebalance wire",
            ),
        )
    }
}
