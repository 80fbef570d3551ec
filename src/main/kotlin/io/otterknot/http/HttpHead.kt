package io.otterknot.http

import io.otterknot.net.TcpConnection
import okio.Buffer

/** A message that is not HTTP; the text goes back to its sender. */
internal class MalformedHttpException(message: String) : Exception(message, null, false, false)

/**
 * The head of an HTTP message: its first line, cut at spaces, and its header fields.
 *
 * It is read by this class and not by Ktor's parser, since the JVM's client compiler gives up on that ("block join
 * failed" on `parseRequest` and `parseHeaders`): it would stay interpreted, at a fifth of a controller's
 * processor time in the first seconds after a start.
 */
internal class HttpHead private constructor(val startLine: List<String>, private val fields: List<Field>) {
    private class Field(val name: String, val value: String)

    operator fun get(name: String): String? = fields.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    val closesConnection: Boolean get() = this["Connection"].equals("close", ignoreCase = true)

    val isChunked: Boolean get() = this["Transfer-Encoding"].equals("chunked", ignoreCase = true)

    companion object {
        private const val LINE_FEED = '\n'.code.toByte()
        private const val CARRIAGE_RETURN = '\r'.code.toByte()
        private const val MAX_HEAD_BYTES = 16_384L

        /** How many bytes of a head's end may have arrived without its last byte. */
        private const val END_BYTES_WITHOUT_LAST = 2
        private const val START_LINE_PARTS = 3

        /**
         * The next head on [connection]; null: the peer has closed it.
         *
         * @throws MalformedHttpException if it is longer than [MAX_HEAD_BYTES] or a header line has no name
         */
        suspend fun receive(connection: TcpConnection): HttpHead? {
            val input = connection.input
            var searchedTo = 0L
            while (true) {
                if (searchedTo == 0L) skipEmptyLines(input)
                val end = endOfHead(input, searchedTo)
                if (end >= 0) return parse(input.readString(end, Charsets.ISO_8859_1))
                if (input.size >
                    MAX_HEAD_BYTES
                ) {
                    throw MalformedHttpException("the head has more than $MAX_HEAD_BYTES bytes")
                }
                searchedTo = maxOf(0L, input.size - END_BYTES_WITHOUT_LAST)
                if (!connection.receive()) return null
            }
        }

        /** Some clients send one line end too many after a body (RFC 9112, section 2.2). */
        private fun skipEmptyLines(input: Buffer) {
            while (!input.exhausted() && (input[0] == CARRIAGE_RETURN || input[0] == LINE_FEED)) input.skip(1)
        }

        /** Where the body begins: after a line feed that only a line end follows; -1: it has not arrived yet. */
        private fun endOfHead(input: Buffer, from: Long): Long {
            var lineEnd = input.indexOf(LINE_FEED, from)
            while (lineEnd >= 0) {
                var next = lineEnd + 1
                if (next < input.size && input[next] == CARRIAGE_RETURN) next++
                if (next < input.size && input[next] == LINE_FEED) return next + 1
                lineEnd = input.indexOf(LINE_FEED, lineEnd + 1)
            }
            return -1
        }

        private fun parse(text: String): HttpHead {
            val startEnd = text.indexOf('\n')
            val startLine = text.substring(0, startEnd).trimEnd().split(' ', limit = START_LINE_PARTS)
            val fields = ArrayList<Field>()
            var from = startEnd + 1
            while (true) {
                val lineEnd = text.indexOf('\n', from)
                if (isBlank(text, from, lineEnd)) return HttpHead(startLine, fields)
                fields.add(field(text, from, lineEnd))
                from = lineEnd + 1
            }
        }

        private fun isBlank(text: String, from: Int, lineEnd: Int): Boolean =
            lineEnd == from || (lineEnd == from + 1 && text[from] == '\r')

        private fun field(text: String, from: Int, until: Int): Field {
            val colon = text.indexOf(':', from)
            if (colon <= from || colon >= until) throw MalformedHttpException("a header line without a name")
            return Field(text.substring(from, colon), text.substring(colon + 1, until).trim())
        }
    }
}
