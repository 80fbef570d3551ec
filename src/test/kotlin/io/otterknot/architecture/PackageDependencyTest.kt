package io.otterknot.architecture

import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Which package may use which: dependencies between packages go in one direction, read from the compiled classes. */
class PackageDependencyTest {
    @Test
    fun `packages have no cycle`() {
        assertTrue(classes.size > 100, "found the classes")
        slices().matching("$ROOT.(*)..").should().beFreeOfCycles().check(classes)
    }

    @Test
    fun `every package is in the table`() {
        val found = classes.mapNotNull { packageOf(it.packageName) }.toSet()
        assertEquals(PACKAGES.map(PackageEntry::name).toSet(), found)
    }

    @Test
    fun `a package uses only those that the table allows`() {
        val forbidden = usesBetweenPackages().filterNot { (edge, _) -> edge.used in allowedFor(edge.user) }
        val examples = forbidden.map { (edge, descriptions) -> "$edge: ${descriptions.first()}" }
        assertEquals(emptyList<String>(), examples, "uses that the table does not allow")
    }

    private fun allowedFor(name: String): Set<String> = PACKAGES.single { it.name == name }.mayUse

    /** Each pair of packages of which one uses the other, with the descriptions of these uses. */
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

    /** The package below the root; null: not one of otterknot's. */
    private fun packageOf(fullName: String): String? =
        if (fullName.startsWith("$ROOT.")) fullName.removePrefix("$ROOT.").substringBefore('.') else null

    private data class Edge(val user: String, val used: String) {
        override fun toString() = "$user -> $used"
    }

    /** [job]: what the package is for, in one sentence; [mayUse]: the packages that it may use. */
    private data class PackageEntry(val name: String, val job: String, val mayUse: Set<String>)

    private companion object {
        const val ROOT = "io.otterknot"

        val classes: JavaClasses = ClassFileImporter()
            .withImportOption(ImportOption.DoNotIncludeTests())
            .importPackages(ROOT)

        /** [mayUse]: names of packages, divided by blanks. */
        fun entry(name: String, job: String, mayUse: String = "") =
            PackageEntry(name, job, mayUse.split(' ').filter(String::isNotEmpty).toSet())

        /** From the lowest layer to the highest; a package that moves is moved here as well. */
        val PACKAGES = listOf(
            entry(
                "wire",
                "Messages of workers, jobs and the cloud as they stand on the wire.",
            ),
            entry(
                "ratelimit",
                "Spends this controller's share of the rate limits of the key-value store and the cloud.",
            ),
            entry(
                "metrics",
                "Counts and times what a controller does.",
            ),
            entry(
                "time",
                "Constants of the steady clock that several packages share.",
            ),
            entry(
                "net",
                "The event loop of the process, its sockets and timers.",
            ),
            entry(
                "config",
                "Reads, checks and follows the settings.",
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
                "Client of the cloud's interface for machines.",
                mayUse = "http ratelimit wire",
            ),
            entry(
                "store",
                "Client of the key-value store, and the replica that follows it.",
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
                "Spreads the load of teams over partitions, by plans of moves.",
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
                "Puts a controller together and runs it.",
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
