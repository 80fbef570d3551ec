package io.otterknot.wire

/**
 * Upper bounds of the sizes of commands in the response to a heartbeat. The response is one line, and no line may be
 * longer than [MAX_LINE_BYTES].
 */
object CommandSize {
    /** The longest line of a response to workers or users. */
    const val MAX_LINE_BYTES = 64 * 1024

    /** A response without commands, with the longest fencing token. */
    private const val EMPTY_RESPONSE = """{"Warrant":18446744073709551615,"Calls":[]}"""

    /** The bytes that all commands in one response may take together. */
    const val MAX_COMMANDS_BYTES = MAX_LINE_BYTES - EMPTY_RESPONSE.length

    /** A command without the name of its task, with the longest operation and the longest numbers. */
    private const val LONGEST_COMMAND_WITHOUT_NAME =
        """{"Call":"forget","Chore":"","Try":18446744073709551615,"LeewayS":-1.7976931348623157E308},"""

    /** The most bytes that one character takes in a JSON text: an escape with four hexadecimal digits. */
    private const val MAX_ESCAPED_BYTES = 6

    /** Returns the most bytes that [command] takes in a response. */
    fun of(command: HeartbeatCommand): Int = LONGEST_COMMAND_WITHOUT_NAME.length + escapedBytes(command.task)

    private fun escapedBytes(name: String): Int = name.sumOf { if (isWrittenAsItIs(it)) 1 else MAX_ESCAPED_BYTES }

    private fun isWrittenAsItIs(character: Char): Boolean =
        character in '0'..'9' || character in 'a'..'z' || character in 'A'..'Z' || character in "-/"
}
