package io.otterknot.http

import io.otterknot.net.TcpConnection
import okio.Buffer

/**
 * A malformed HTTP message. [HttpServer] returns the exception's text to the client; [HttpClient] reports it as the
 * reason why there is no response.
 */
internal class MalformedHttpException(message: String) : Exception(message, null, false, false)

/**
 * The head of an HTTP message: its first line, split at spaces into at most three parts, and its header fields.
 *
 * Ktor's parser is not used, because the JVM's client compiler (C1) fails to compile its `parseRequest` and
 * `parseHeaders` ("block join failed"). The parser would stay interpreted and use a fifth of a controller's processor
 * time in the first seconds after a start.
 */
internal class HttpHead private constructor(val startLine: List<String>, private val fields: List<Field>) {
    private class Field(val name: String, val value: String)

    operator fun get(name: String): String? = fields.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    val closesConnection: Boolean get() = this["Connection"].equals("close", ignoreCase = true)

    val isChunked: Boolean get() = this["Transfer-Encoding"].equals("chunked", ignoreCase = true)

    companion object {
        private const val LINE_FEED = '\n'.code.toByte()
        private const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val MAX_HEAD_BYTES = 16_384L

        /** How many bytes of a head's end (LF, optional CR, LF) may have arrived before its last byte. */
        private const val MAX_PARTIAL_END_BYTES = 2
        private const val START_LINE_PARTS = 3

        /**
         * Receives the next head on [connection]; returns null if the peer closes the connection before the head is
         * complete. Calls [onIncomplete] once before it waits for the rest of a head that has begun.
         *
         * @throws MalformedHttpException if the head is longer than [MAX_HEAD_BYTES], or a header line has no name
         *   or no colon
         */
        suspend fun receive(connection: TcpConnection, onIncomplete: () -> Unit = {}): HttpHead? {
            val input = connection.input
            var searchFrom = 0L
            var isIncomplete = false
            while (true) {
                if (searchFrom == 0L) skipEmptyLines(input)
                val end = endOfHead(input, searchFrom)
                if (end >= 0) return parse(input.readString(end, Charsets.ISO_8859_1))
                if (input.size > MAX_HEAD_BYTES) {
                    throw MalformedHttpException("the HTTP head is longer than the allowed $MAX_HEAD_BYTES bytes")
                }
                if (!input.exhausted() && !isIncomplete) {
                    isIncomplete = true
                    onIncomplete()
                }
                searchFrom = maxOf(0L, input.size - MAX_PARTIAL_END_BYTES)
                if (!connection.receive()) return null
            }
        }

        /** Skips empty lines before a head: some clients send one after a body (RFC 9112, section 2.2). */
        private fun skipEmptyLines(input: Buffer) {
            while (!input.exhausted() && (input[0] == CARRIAGE_RETURN || input[0] == LINE_FEED)) input.skip(1)
        }

        /**
         * Returns the index of the first byte after the empty line that ends the head, or -1 if that line has not
         * arrived yet. The search for its preceding line feed begins at [from].
         */
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
                if (isEmptyLine(text, from, lineEnd)) return HttpHead(startLine, fields)
                fields.add(parseField(text, from, lineEnd))
                from = lineEnd + 1
            }
        }

        private fun isEmptyLine(text: String, from: Int, lineEnd: Int): Boolean =
            lineEnd == from || (lineEnd == from + 1 && text[from] == '\r')

        private fun parseField(text: String, from: Int, until: Int): Field {
            val colon = text.indexOf(':', from)
            if (colon <= from || colon >= until) throw MalformedHttpException("a header line must be NAME: VALUE")
            return Field(text.substring(from, colon), text.substring(colon + 1, until).trim())
        }
    }
}
