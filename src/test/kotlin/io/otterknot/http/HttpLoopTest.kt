package io.otterknot.http

import io.otterknot.net.EventLoop
import io.otterknot.net.HostPort
import io.otterknot.net.TcpConnection
import io.otterknot.net.TcpListener
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.io.IOException

/** The event loop, its sockets, and HTTP on them, over loopback. */
class HttpLoopTest {
    /** What a client sends, piece by piece, and the statuses that it gets. */
    class Conversation(val name: String, val pieces: List<String>, val statuses: List<Int>, val closes: Boolean) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("conversations")
    fun `requests are answered however they come`(conversation: Conversation) = onServer { _, address, _ ->
        val connection = TcpConnection.open(loop, address)
        for (piece in conversation.pieces) {
            connection.send(piece.encodeToByteArray())
            delay(5)
        }
        val statuses = List(conversation.statuses.size) { readAnswer(connection) }
        assertEquals(conversation.statuses, statuses)
        if (conversation.closes) assertFalse(connection.receive(), "the connection is closed after the answer")
        connection.close()
    }

    /** A request that comes late on a kept connection, and requests of which the rest never comes. */
    @ParameterizedTest
    @MethodSource("slowClients")
    fun `a request has its time from its own first byte, and one that stays unfinished is refused`(
        client: Conversation,
    ) = onServer(limits = ConnectionLimits(idleMs = 100_000, requestMs = 300, checkMs = 25)) { _, address, _ ->
        val connection = TcpConnection.open(loop, address)
        connection.send(GET.encodeToByteArray())
        assertEquals(200, readAnswer(connection))
        delay(500)
        for (piece in client.pieces) {
            connection.send(piece.encodeToByteArray())
            delay(60)
        }
        assertEquals(client.statuses, List(client.statuses.size) { readAnswer(connection) })
        if (client.closes) assertFalse(connection.receive(), "the connection is closed after the answer")
        connection.close()
    }

    @Test
    fun `what was sent is what the handler gets`() = onServer { _, address, requests ->
        val client = HttpClient(loop, address)
        val reply = client.call("POST", "/a/b?c=d", "{}".encodeToByteArray(), ANSWER_MS) as Reply.Answer
        assertEquals(200, reply.status)
        assertEquals("POST /a/b ?c=d {}", requests.single())
    }

    @Test
    fun `decisions, timers and sockets share one thread, and requests one connection`() = onServer {
            server,
            address,
            _,
        ->
        val client = HttpClient(loop, address, maxIdle = 1)
        val own = Thread.currentThread()
        repeat(REQUESTS) {
            client.call("GET", "/", null, ANSWER_MS)
            assertEquals(own, Thread.currentThread(), "after an answer")
            delay(1)
            assertEquals(own, Thread.currentThread(), "after a delay")
        }
        assertEquals(setOf(own), server.threads, "the handler's threads")
        assertEquals(1, server.acceptedCount)
    }

    @Test
    fun `a kept connection that the other side has closed is not used again`() = EventLoop().use { loop ->
        loop.run {
            val listener = TcpListener.bind(loop, HostPort("127.0.0.1", 0))
            val server = launch {
                repeat(2) {
                    val connection = listener.accept()
                    connection.receive()
                    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".encodeToByteArray())
                    connection.close()
                }
            }
            val client = HttpClient(loop, HostPort("127.0.0.1", listener.port))
            repeat(2) {
                assertTrue(client.call("GET", "/", null, ANSWER_MS) is Reply.Answer)
                delay(20)
            }
            server.join()
            listener.close()
        }
    }

    @Test
    fun `more connections than allowed are closed at once, and one that ends makes room`() =
        onServer(maxConnections = 2) { _, address, _ ->
            val kept = List(2) { TcpConnection.open(loop, address) }
            kept.forEach { it.send(GET.encodeToByteArray()) }
            kept.forEach { assertEquals(200, readAnswer(it)) }
            val refused = TcpConnection.open(loop, address)
            assertFalse(refused.receive())
            kept.first().close()
            delay(20)
            val next = TcpConnection.open(loop, address)
            next.send(GET.encodeToByteArray())
            assertEquals(200, readAnswer(next))
            listOf(refused, next, kept.last()).forEach { it.close() }
        }

    @Test
    fun `large messages pass in both directions at the same time`() = onServer { _, address, _ ->
        val client = HttpClient(loop, address, maxIdle = 8)
        val body = ByteArray(MAX_BODY) { 'x'.code.toByte() }
        coroutineScope {
            List(8) { async { client.call("POST", "/echo", body, ANSWER_MS) } }.awaitAll().forEach {
                assertEquals(body.size, (it as Reply.Answer).body.size)
            }
        }
    }

    @Test
    fun `timers run in the order of their times, and what is cancelled does not run`() = EventLoop().use { loop ->
        val order = ArrayList<Int>()
        loop.run {
            for (ms in listOf(30, 10, 20)) {
                launch {
                    delay(ms.toLong())
                    order.add(ms)
                }
            }
            launch {
                delay(15)
                order.add(15)
            }.cancel()
            assertNull(withTimeoutOrNull(5) { CompletableDeferred<Unit>().await() })
            assertEquals(1, withTimeoutOrNull(Long.MAX_VALUE / 2) { 1 })
        }
        assertEquals(listOf(10, 20, 30), order)
    }

    /** A controller that gets no turn for long finds several timers due: none is lost, and each runs once. */
    @Test
    fun `timers that come late all run, in their order, before anything new is read`() = EventLoop().use { loop ->
        val order = ArrayList<String>()
        loop.run {
            for (ms in listOf(3L, 1L, 2L)) {
                launch {
                    delay(ms)
                    order.add("$ms")
                }
            }
            launch {
                delay(0)
                val began = System.nanoTime()
                while (System.nanoTime() - began < STALL_NS) Thread.onSpinWait()
            }
        }
        assertEquals(listOf("1", "2", "3"), order)
    }

    @Test
    fun `a task from another thread wakes the loop, and a failure ends the run`() = EventLoop().use { loop ->
        loop.run {
            val fromElsewhere = CompletableDeferred<Thread>()
            val other = Thread { CoroutineScope(loop).launch { fromElsewhere.complete(Thread.currentThread()) } }
            other.start()
            assertEquals(Thread.currentThread(), fromElsewhere.await())
        }
        assertThrows(IOException::class.java) { loop.run { throw IOException("broken") } }
        Unit
    }

    @Test
    fun `an address at which nobody listens is given up at once`() = EventLoop().use { loop ->
        loop.run {
            val listener = TcpListener.bind(loop, HostPort("127.0.0.1", 0))
            val address = HostPort("127.0.0.1", listener.port)
            listener.close()
            assertTrue(HttpClient(loop, address).call("GET", "/", null, ANSWER_MS) is Reply.None)
        }
    }

    // ---- the server of these tests

    private class TestServer(private val server: () -> HttpServer) {
        val threads = HashSet<Thread>()
        val acceptedCount: Int get() = server().acceptedCount
    }

    private lateinit var loop: EventLoop

    private fun onServer(
        maxConnections: Int = 16,
        limits: ConnectionLimits = ConnectionLimits(),
        play: suspend CoroutineScope.(TestServer, HostPort, List<String>) -> Unit,
    ) = EventLoop().use { newLoop ->
        loop = newLoop
        newLoop.run {
            val requests = ArrayList<String>()
            lateinit var server: HttpServer
            val seen = TestServer { server }
            server = HttpServer(newLoop, maxConnections, MAX_BODY, limits) { request ->
                seen.threads.add(Thread.currentThread())
                requests.add(described(request))
                HttpResponse(200, request.body)
            }
            val listener = server.bind(HostPort("127.0.0.1", 0))
            val serving = launch { server.serve(this, listener) }
            play(seen, HostPort("127.0.0.1", listener.port), requests)
            serving.cancel()
            listener.close()
        }
    }

    private fun described(request: HttpRequest) =
        "${request.method} ${request.path} ${request.query} ${request.body.decodeToString()}"

    private suspend fun readAnswer(connection: TcpConnection): Int {
        var head = ""
        while ("\r\n\r\n" !in head) {
            if (!connection.receive(1)) return NO_ANSWER
            head += connection.input.readByteArray(1).decodeToString()
        }
        val length = Regex("Content-Length: (\\d+)").find(head)!!.groupValues[1].toLong()
        connection.receive(length)
        connection.input.skip(length)
        return head.split(' ')[1].toInt()
    }

    companion object {
        private const val MAX_BODY = 200_000
        private const val ANSWER_MS = 10_000L
        private const val REQUESTS = 20
        private const val NO_ANSWER = -1
        private const val STALL_NS = 20_000_000L
        private const val GET = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        private const val POST = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"
        private const val CHUNKED = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

        @JvmStatic
        fun slowClients() = listOf(
            Conversation("in pieces after a pause", listOf(POST.take(20), POST.drop(20)), listOf(200), false),
            Conversation("half a head", listOf(GET.take(20)), listOf(400), true),
            Conversation("a head without its body", listOf(POST.dropLast(2)), listOf(400), true),
            Conversation("half a body", listOf(POST.dropLast(1)), listOf(400), true),
            Conversation("chunks without an end", listOf(CHUNKED, "2\r\n{}\r\n"), listOf(400), true),
        )

        @JvmStatic
        fun conversations() = listOf(
            Conversation("one", listOf(GET), listOf(200), false),
            Conversation("two, one after the other", listOf(GET, POST), listOf(200, 200), false),
            Conversation("two at once", listOf(POST + GET), listOf(200, 200), false),
            Conversation("byte by byte", POST.map { "$it" }, listOf(200), false),
            Conversation("line feeds alone", listOf(GET.replace("\r", "")), listOf(200), false),
            Conversation("empty lines first", listOf("\r\n\r\n$GET"), listOf(200), false),
            Conversation("asked to close", listOf("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"), listOf(200), true),
            Conversation("chunks", listOf(CHUNKED, "2\r\n{}\r\n0", "\r\n\r\n"), listOf(200), true),
            Conversation("not HTTP", listOf("what\r\n\r\n"), listOf(400), true),
            Conversation("another protocol", listOf("GET / SIP/2.0\r\n\r\n"), listOf(400), true),
            Conversation("a nameless field", listOf(GET.replace("Host: a", ": a")), listOf(400), true),
            Conversation("a line without a colon", listOf(GET.replace("Host: a", "Host")), listOf(400), true),
            Conversation("a line of one character", listOf(GET.replace("Host: a", "H\nHost: a")), listOf(400), true),
            Conversation("a bad length", listOf(GET.replace("Host: a", "Content-Length: x")), listOf(400), true),
            Conversation("below zero", listOf(GET.replace("Host: a", "Content-Length: -1")), listOf(400), true),
            Conversation("too large", listOf(GET.replace("Host: a", "Content-Length: 200001")), listOf(413), true),
            Conversation("an endless head", listOf("GET / HTTP/1.1\r\nA: " + "x".repeat(20_000)), listOf(400), true),
        )
    }
}
