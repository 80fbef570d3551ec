package io.otterknot.config

import us.bpsm.edn.EdnException
import us.bpsm.edn.parser.Parser
import us.bpsm.edn.parser.Parsers
import java.io.IOException
import java.nio.file.NoSuchFileException
import java.nio.file.Path

/** The settings of the operators' file, one property for each optional subsystem; all are off by default. */
data class OperatorSettings(val loadSpread: LoadSpreadSettings = LoadSpreadSettings())

/** Reads the operators' file, which consists of S-expressions: one list (section) for each subsystem. */
object OperatorSettingsFile {
    /**
     * Reads the file at [path]. Without such a file all optional subsystems are off.
     *
     * @throws InvalidSettingsException if the file cannot be read, or a section or setting is unknown or invalid
     */
    fun read(path: Path): OperatorSettings {
        val text = try {
            readSettingsText(path)
        } catch (ignored: NoSuchFileException) {
            // The file is optional.
            return OperatorSettings()
        } catch (e: IOException) {
            throw InvalidSettingsException("cannot read the operators' file $path: ${reasonOf(e)}", e)
        }
        return parse(text)
    }

    /**
     * Parses the [text] of an operators' file.
     *
     * @throws InvalidSettingsException if it is not S-expressions, or a section or setting is unknown or invalid
     */
    fun parse(text: String): OperatorSettings {
        val sections = sections(text)
        val repeated = sections.groupBy { it.name }.values.firstOrNull { it.size > 1 }
        if (repeated != null) {
            throw InvalidSettingsException(
                "section ${repeated.first().name} occurs ${repeated.size} times, but is allowed once",
            )
        }
        var settings = OperatorSettings()
        for (section in sections) {
            settings = when (section.name) {
                LoadSpreadSettings.SECTION -> settings.copy(loadSpread = LoadSpreadSettings.read(section))

                else -> throw InvalidSettingsException(
                    "unknown section ${section.name}, not one of ${LoadSpreadSettings.SECTION}",
                )
            }
            section.rejectUnknown()
        }
        return settings
    }

    private fun sections(text: String): List<SettingsSection> {
        val parser = Parsers.newParser(Parsers.defaultConfiguration())
        val source = Parsers.newParseable(text)
        val sections = ArrayList<SettingsSection>()
        try {
            checkNestingOfExpressions(text)
            while (true) {
                val form = parser.nextValue(source)
                if (form === Parser.END_OF_INPUT) return sections
                sections.add(SettingsSection.of(form))
            }
        } catch (e: EdnException) {
            throw notExpressions(e)
        } catch (e: IllegalArgumentException) {
            // From the value of a tag, such as #uuid "x".
            throw notExpressions(e)
        }
    }

    private fun notExpressions(e: RuntimeException) = InvalidSettingsException(
        "not S-expressions, for example (load-spread :mode off): ${e.message.orEmpty().lineSequence().first()}",
        e,
    )
}
