package io.otterknot.config

import us.bpsm.edn.Keyword
import us.bpsm.edn.Symbol

/**
 * One section of the operators' file: a list of its name and of pairs of a keyword and a value. Reading a setting
 * consumes it; what is left at the end is unknown.
 */
internal class SettingsSection private constructor(val name: String, private val values: MutableMap<String, Any?>) {
    /** The truth value of [setting], or [default] if it is not set; likewise [number], [count] and [choice]. */
    fun flag(setting: String, default: Boolean): Boolean = when (val value = consume(setting, default)) {
        is Boolean -> value
        else -> throw invalid(setting, value, "true or false")
    }

    fun number(setting: String, default: Double, range: ClosedFloatingPointRange<Double>): Double {
        val value = consume(setting, default)
        val number = (value as? Number)?.toDouble()
        if (number == null || number !in range) {
            throw invalid(setting, value, "a number from ${range.start} to ${range.endInclusive}")
        }
        return number
    }

    fun count(setting: String, default: Int, range: IntRange): Int {
        val value = consume(setting, default.toLong())
        val count = value as? Long
        if (count == null || count !in range.first..range.last) {
            throw invalid(setting, value, "a whole number from ${range.first} to ${range.last}")
        }
        return count.toInt()
    }

    /** One of [choices], by its name in lower case. */
    fun <E : Enum<E>> choice(setting: String, default: E, choices: List<E>): E {
        val value = consume(setting, Symbol.newSymbol(default.name.lowercase()))
        return choices.firstOrNull { value is Symbol && value.prefix.isEmpty() && it.name.lowercase() == value.name }
            ?: throw invalid(setting, value, "one of " + choices.joinToString { it.name.lowercase() })
    }

    /**
     * Call once all known settings have been read: what is left is unknown.
     *
     * @throws InvalidSettingsException if something is left
     */
    fun rejectUnknown() {
        val unknown = values.keys.firstOrNull() ?: return
        throw InvalidSettingsException("$name: unknown setting :$unknown")
    }

    private fun consume(setting: String, default: Any): Any? = if (setting in
        values
    ) {
        values.remove(setting)
    } else {
        default
    }

    private fun invalid(setting: String, value: Any?, wanted: String) =
        InvalidSettingsException("$name: :$setting is $value, not $wanted")

    companion object {
        /**
         * Reads one form of the file.
         *
         * @throws InvalidSettingsException if it is not a list of a name and of pairs
         */
        fun of(form: Any?): SettingsSection {
            val items = form as? List<*> ?: throw InvalidSettingsException("not a section in parentheses: $form")
            val name =
                (items.firstOrNull() as? Symbol)?.name
                    ?: throw InvalidSettingsException("a section without a name: $form")
            val values = LinkedHashMap<String, Any?>()
            for (pair in items.drop(1).chunked(2)) addPair(name, pair, values)
            return SettingsSection(name, values)
        }

        private fun addPair(section: String, pair: List<Any?>, values: MutableMap<String, Any?>) {
            fun demand(holds: Boolean, message: String) {
                if (!holds) throw InvalidSettingsException("$section: $message")
            }
            val keyword = pair[0] as? Keyword
                ?: throw InvalidSettingsException("$section: ${pair[0]} is not a setting, which begins with a colon")
            val setting = keyword.name
            demand(pair.size == 2, ":$setting has no value")
            demand(setting !in values, ":$setting stands twice")
            values[setting] = pair[1]
        }
    }
}
