package io.otterknot.config

import us.bpsm.edn.Keyword
import us.bpsm.edn.Symbol

/**
 * One section of the operators' file: a list of the section's name followed by pairs of a keyword and a value. Reading
 * a setting removes it from [values], so that the settings left after all known ones were read are unknown ones.
 */
internal class SettingsSection private constructor(val name: String, private val values: MutableMap<String, Any?>) {
    /** The settings that were read, whether set or not, in this order. */
    private val known = LinkedHashSet<String>()

    /**
     * Returns the Boolean value of [setting], or [default] if it is not set.
     *
     * @throws InvalidSettingsException if the value is not a Boolean
     */
    fun flag(setting: String, default: Boolean): Boolean = when (val value = consume(setting, default)) {
        is Boolean -> value
        else -> throw invalid(setting, value, "true or false")
    }

    /**
     * Returns the numeric value of [setting], or [default] if it is not set.
     *
     * @throws InvalidSettingsException if the value is not a number in [range]
     */
    fun number(setting: String, default: Double, range: ClosedFloatingPointRange<Double>): Double {
        val value = consume(setting, default)
        val number = (value as? Number)?.toDouble()
        if (number == null || number !in range) {
            throw invalid(setting, value, "a number from ${range.start} to ${range.endInclusive}")
        }
        return number
    }

    /**
     * Returns the whole number that is the value of [setting], or [default] if it is not set.
     *
     * @throws InvalidSettingsException if the value is not a whole number in [range]
     */
    fun count(setting: String, default: Int, range: IntRange): Int {
        val value = consume(setting, default.toLong())
        val count = value as? Long
        if (count == null || count !in range.first..range.last) {
            throw invalid(setting, value, "a whole number from ${range.first} to ${range.last}")
        }
        return count.toInt()
    }

    /**
     * Returns the entry of [choices] whose name in lower case is the value of [setting], or [default] if it is not set.
     *
     * @throws InvalidSettingsException if the value names none of [choices]
     */
    fun <E : Enum<E>> choice(setting: String, default: E, choices: List<E>): E {
        val value = consume(setting, Symbol.newSymbol(default.name.lowercase()))
        return choices.firstOrNull { value is Symbol && value.prefix.isEmpty() && it.name.lowercase() == value.name }
            ?: throw invalid(setting, value, "one of " + choices.joinToString { it.name.lowercase() })
    }

    /**
     * Checks that no unknown setting is left. Must be called after all known settings have been read.
     *
     * @throws InvalidSettingsException if an unknown setting is left
     */
    fun rejectUnknown() {
        val unknown = values.keys.firstOrNull() ?: return
        throw InvalidSettingsException("$name: unknown setting :$unknown, not one of " + known.joinToString { ":$it" })
    }

    private fun consume(setting: String, default: Any): Any? {
        known.add(setting)
        return if (setting in values) values.remove(setting) else default
    }

    private fun invalid(setting: String, value: Any?, allowed: String) =
        InvalidSettingsException("$name: :$setting is ${quoted(value)}, not $allowed")

    companion object {
        private const val FORM = "a section is written like (load-spread :mode off)"

        /**
         * Converts one S-expression of the file to a section.
         *
         * @throws InvalidSettingsException if [form] is not a list of a name and of pairs of a keyword and a value
         */
        fun of(form: Any?): SettingsSection {
            val items = form as? List<*> ?: throw InvalidSettingsException("${quoted(form)} is not a section; $FORM")
            val name =
                (items.firstOrNull() as? Symbol)?.name
                    ?: throw InvalidSettingsException(
                        "section (${items.joinToString(" ") { quoted(it) }}) has no name; $FORM",
                    )
            val values = LinkedHashMap<String, Any?>()
            for (pair in items.drop(1).chunked(2)) addPair(name, pair, values)
            return SettingsSection(name, values)
        }

        private fun addPair(section: String, pair: List<Any?>, values: MutableMap<String, Any?>) {
            val keyword = pair[0] as? Keyword
                ?: throw InvalidSettingsException(
                    "$section: ${quoted(pair[0])} is not the name of a setting, which begins with a colon",
                )
            val setting = keyword.name
            if (pair.size != 2) throw InvalidSettingsException("$section: :$setting has no value; $FORM")
            if (setting in values) {
                throw InvalidSettingsException(
                    "$section: :$setting is set twice, to ${quoted(values[setting])} and ${quoted(pair[1])}, " +
                        "but is allowed once",
                )
            }
            values[setting] = pair[1]
        }
    }
}
