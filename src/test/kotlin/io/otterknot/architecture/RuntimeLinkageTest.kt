package io.otterknot.architecture

import io.otterknot.controller.Controller
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.nio.file.Files
import java.nio.file.Path
import kotlin.streams.asSequence

/** What the compiler made of the sources, as far as a quick start depends on it. */
class RuntimeLinkageTest {
    /** Each call site that is linked at run time takes milliseconds at the first call, again after every restart. */
    @ParameterizedTest
    @ValueSource(strings = ["java/lang/invoke/StringConcatFactory", "java/lang/invoke/LambdaMetafactory"])
    fun `nothing is linked at run time`(factory: String) {
        val classes = Path.of(Controller::class.java.protectionDomain.codeSource.location.toURI())
        val files = Files.walk(classes).use { paths -> paths.asSequence().filter { "$it".endsWith(".class") }.toList() }
        assertTrue(files.size > 100, "found the classes")
        val linked = files.filter { factory in Files.readString(it, Charsets.ISO_8859_1) }
        assertEquals(emptyList<Path>(), linked)
    }
}
