package io.otterknot.config

import us.bpsm.edn.EdnException
import us.bpsm.edn.parser.Parser
import us.bpsm.edn.parser.Parsers
import java.io.IOException
import java.nio.file.Files
import java.nio.file.NoSuchFileException
import java.nio.file.Path

/** The operators' own settings, one section for each subsystem; every subsystem is off by default. */
data class OperatorSettings(val loadSpread: LoadSpreadSettings = LoadSpreadSettings())

/** Reads the operators' file: S-expressions, a list for each subsystem. */
object OperatorSettingsFile {
    /**
     * Reads the file at [path]; all subsystems are off if there is no such file.
     *
     * @throws InvalidSettingsException if it cannot be read, or a section or setting is unknown or out of range
     */
    fun read(path: Path): OperatorSettings {
        val text = try {
            Files.readString(path)
        } catch (ignored: NoSuchFileException) {
            // The file is optional.
            return OperatorSettings()
        } catch (e: IOException) {
            throw InvalidSettingsException("cannot read the operators' file $path: ${e.javaClass.simpleName}", e)
        }
        return parse(text)
    }

    /** Reads the [text] of an operators' file; errors as [read]. */
    fun parse(text: String): OperatorSettings {
        val sections = sections(text)
        val repeated = sections.groupBy { it.name }.values.firstOrNull { it.size > 1 }
        if (repeated != null) throw InvalidSettingsException("section ${repeated.first().name} stands twice")
        var settings = OperatorSettings()
        for (section in sections) {
            settings = when (section.name) {
                LoadSpreadSettings.SECTION -> settings.copy(loadSpread = LoadSpreadSettings.read(section))
                else -> throw InvalidSettingsException("unknown section ${section.name}")
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
            while (true) {
                val form = parser.nextValue(source)
                if (form === Parser.END_OF_INPUT) return sections
                sections.add(SettingsSection.of(form))
            }
        } catch (e: EdnException) {
            throw InvalidSettingsException("not S-expressions: ${e.message.orEmpty().lineSequence().first()}", e)
        }
    }
}
