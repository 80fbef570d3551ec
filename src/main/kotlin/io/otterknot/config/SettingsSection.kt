package io.otterknot.config

import us.bpsm.edn.Keyword
import us.bpsm.edn.Symbol

/**
 * One section of the operators' file: a list of its name and of pairs of a keyword and a value. Each setting is taken
 * once; what nobody has taken at the end is unknown.
 */
internal class SettingsSection private constructor(val name: String, private val values: MutableMap<String, Any?>) {
    fun flag(setting: String, default: Boolean): Boolean = when (val value = take(setting, default)) {
        is Boolean -> value
        else -> throw bad(setting, value, "true or false")
    }

    fun number(setting: String, default: Double, range: ClosedFloatingPointRange<Double>): Double {
        val value = take(setting, default)
        val number = (value as? Number)?.toDouble()
        if (number == null || number !in range) {
            throw bad(setting, value, "a number from ${range.start} to ${range.endInclusive}")
        }
        return number
    }

    fun count(setting: String, default: Int, range: IntRange): Int {
        val value = take(setting, default.toLong())
        val count = value as? Long
        if (count == null || count !in range.first..range.last) {
            throw bad(setting, value, "a whole number from ${range.first} to ${range.last}")
        }
        return count.toInt()
    }

    /** One of [choices], by its name in lower case. */
    fun <E : Enum<E>> choice(setting: String, default: E, choices: List<E>): E {
        val value = take(setting, Symbol.newSymbol(default.name.lowercase()))
        return choices.firstOrNull { value is Symbol && value.prefix.isEmpty() && it.name.lowercase() == value.name }
            ?: throw bad(setting, value, "one of " + choices.joinToString { it.name.lowercase() })
    }

    /** Everything has been taken; what is left is not a setting. */
    fun finish() {
        val unknown = values.keys.firstOrNull() ?: return
        throw InvalidSettingsException("$name: unknown setting :$unknown")
    }

    private fun take(setting: String, default: Any): Any? = if (setting in values) values.remove(setting) else default

    private fun bad(setting: String, value: Any?, wanted: String) =
        InvalidSettingsException("$name: :$setting is $value, not $wanted")

    companion object {
        /** Reads one form of the file. */
        fun of(form: Any?): SettingsSection {
            val items = form as? List<*> ?: throw InvalidSettingsException("not a section in parentheses: $form")
            val name =
                (items.firstOrNull() as? Symbol)?.name
                    ?: throw InvalidSettingsException("a section without a name: $form")
            val values = LinkedHashMap<String, Any?>()
            for (pair in items.drop(1).chunked(2)) {
                val setting = (pair[0] as? Keyword)?.name
                    ?: throw InvalidSettingsException("$name: ${pair[0]} is not a setting, which begins with a colon")
                if (pair.size < 2) throw InvalidSettingsException("$name: :$setting has no value")
                if (setting in values) throw InvalidSettingsException("$name: :$setting stands twice")
                values[setting] = pair[1]
            }
            return SettingsSection(name, values)
        }
    }
}
