package io.otterknot.architecture

import io.otterknot.controller.Controller
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.nio.file.Files
import java.nio.file.Path
import kotlin.streams.asSequence

/** Checks properties of the compiled classes that a fast start depends on. */
class RuntimeLinkageTest {
    /** Linking a call site at run time takes milliseconds at its first call, after every start of the process. */
    @ParameterizedTest
    @ValueSource(strings = ["java/lang/invoke/StringConcatFactory", "java/lang/invoke/LambdaMetafactory"])
    fun `no call site is linked at run time`(factory: String) {
        val classes = Path.of(Controller::class.java.protectionDomain.codeSource.location.toURI())
        val files = Files.walk(classes).use { paths -> paths.asSequence().filter { "$it".endsWith(".class") }.toList() }
        assertTrue(files.size > 100, "found the classes")
        val linked = files.filter { factory in Files.readString(it, Charsets.ISO_8859_1) }
        assertEquals(emptyList<Path>(), linked)
    }
}
