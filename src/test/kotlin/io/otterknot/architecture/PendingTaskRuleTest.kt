package io.otterknot.architecture

import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import io.otterknot.partition.AttemptLedger
import io.otterknot.scheduling.PartitionJob
import io.otterknot.scheduling.PendingTasks
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class PendingTaskRuleTest {
    @Test
    fun `a task becomes pending nowhere but behind the check of its start reason`() {
        assertEquals(setOf(PartitionJob::class.java.name), callersOf(PendingTasks::class.java, "add"))
        assertEquals(setOf(AttemptLedger::class.java.name), callersOf(PartitionJob::class.java, "makePending"))
    }

    /** The names of the other classes that call [method] of [owner]. */
    private fun callersOf(owner: Class<*>, method: String): Set<String> = ClassFileImporter()
        .withImportOption(ImportOption.DoNotIncludeTests())
        .importPackages("io.otterknot")
        .get(owner)
        .methods
        .filter { it.name == method }
        .flatMap { it.callsOfSelf }
        .map { it.originOwner.name }
        .filter { it != owner.name }
        .toSet()
}
