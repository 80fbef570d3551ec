package io.otterknot.config

import us.bpsm.edn.EdnException
import us.bpsm.edn.parser.Parser
import us.bpsm.edn.parser.Parsers
import java.io.IOException
import java.nio.file.Files
import java.nio.file.NoSuchFileException
import java.nio.file.Path

/** The operators' own settings, beyond the platform's file: one section a subsystem. All of them are off by default. */
data class OperatorSettings(val loadSpread: LoadSpreadSettings = LoadSpreadSettings())

/** Reads the operators' file: S-expressions, a list for each subsystem. */
object OperatorSettingsFile {
    /** What [path] says; all subsystems are off if there is no such file. */
    fun read(path: Path): OperatorSettings {
        val text = try {
            Files.readString(path)
        } catch (e: NoSuchFileException) {
            return OperatorSettings()
        } catch (e: IOException) {
            throw InvalidSettingsException("cannot read the operators' file $path: ${e.javaClass.simpleName}")
        }
        return parse(text)
    }

    fun parse(text: String): OperatorSettings {
        val sections = sections(text)
        sections.groupBy { it.name }.values.firstOrNull { it.size > 1 }?.let {
            throw InvalidSettingsException("section ${it.first().name} stands twice")
        }
        var settings = OperatorSettings()
        for (section in sections) {
            settings = when (section.name) {
                LoadSpreadSettings.SECTION -> settings.copy(loadSpread = LoadSpreadSettings.read(section))
                else -> throw InvalidSettingsException("unknown section ${section.name}")
            }
            section.finish()
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
            throw InvalidSettingsException("not S-expressions: ${e.message.orEmpty().lineSequence().first()}")
        }
    }
}
