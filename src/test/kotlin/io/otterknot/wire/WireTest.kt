package io.otterknot.wire

import io.otterknot.peer.PeerCodec
import io.otterknot.peer.PeerMessage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

class WireTest {
    private val validSubmission =
        """{"Uid":"j-000412","Ilk":"train","Crew":"vision","Sort":"sweep","Rank":"high","Chores":16,""" +
            """"Cores":8.0,"Cards":1.0,"MemoryGb":64.0,"Pelt":"img-07","SizeGb":6.2,"Breeds":["g8"],""" +
            """"Reach":null,"SamePlace":true,"Scatter":false,""" +
            """"Driftwood":true,"GuessS":240.0,"CacheS":30.0,"StashS":4.0,"DueS":900.0,"Extra":{"a":1}}"""

    @Test
    fun `a valid submission is decoded and unknown fields are ignored`() {
        val spec = parseSubmission(validSubmission.encodeToByteArray())
        assertEquals("j-000412", spec.id)
        assertEquals(16, spec.tasks)
        assertEquals(listOf("g8"), spec.types)
        assertEquals(null, spec.zone)
        assertTrue(spec.sameZone)
    }

    @Test
    fun `an absent nullable field of a submission is decoded as null`() {
        val shortened = validSubmission.replace(""""Reach":null,""", "")
            .replace(""""Breeds":["g8"],""", "")
            .replace(""","DueS":900.0""", "")
        val spec = parseSubmission(shortened.encodeToByteArray())
        assertEquals(null, spec.types)
        assertEquals(null, spec.dueS)
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            "null|",
            "[]|",
            "[\"j-000002\"]|j-000002",
            "[\"j-000002\",\"j-000001\",\"j-000002\"]|j-000002 j-000001",
        ],
    )
    fun `dependencies of a submission are decoded without duplicates`(awaits: String, expected: String?) {
        val spec = parseSubmission(validSubmission.replace("\"DueS\":900.0", "\"Awaits\":$awaits").encodeToByteArray())
        assertEquals(expected, spec.dependencies?.joinToString(" "))
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            "\"Uid\":\"j-000412\"|\"Uid\":\"x-1\"|Uid",
            "\"Uid\":\"j-000412\"|\"Uid\":412|Uid",
            "\"Sort\":\"sweep\"|\"Sort\":\"gang\"|Sort",
            "\"Rank\":\"high\"|\"Rank\":\"urgent\"|Rank",
            "\"Chores\":16|\"Chores\":0|Chores",
            "\"Chores\":16|\"Chores\":-3|Chores",
            "\"Chores\":16|\"Chores\":100001|Chores",
            "\"Chores\":16|\"Chores\":2.5|Chores",
            "\"Chores\":16|\"Chores\":\"16\"|Chores",
            "\"Cores\":8.0|\"Cores\":-1.0|Cores",
            "\"Cores\":8.0|\"Cores\":1e999|Cores",
            "\"Cores\":8.0|\"Cores\":\"8\"|Cores",
            "\"MemoryGb\":64.0|\"MemoryGb\":null|MemoryGb",
            "\"Pelt\":\"img-07\"|\"Pelt\":7|Pelt",
            "\"Breeds\":[\"g8\"]|\"Breeds\":\"g8\"|Breeds",
            "\"Breeds\":[\"g8\"]|\"Breeds\":[8]|Breeds",
            "\"SamePlace\":true|\"SamePlace\":\"true\"|SamePlace",
            "\"Scatter\":false|\"Scatter\":0|Scatter",
            "\"GuessS\":240.0|\"GuessX\":240.0|GuessS",
            "\"DueS\":900.0|\"DueS\":-1|DueS",
            "\"Crew\":\"vision\",||Crew",
            "\"DueS\":900.0|\"Awaits\":\"j-000001\"|Awaits",
            "\"DueS\":900.0|\"Awaits\":{}|Awaits",
            "\"DueS\":900.0|\"Awaits\":[7]|Awaits",
            "\"DueS\":900.0|\"Awaits\":[null]|Awaits",
            "\"DueS\":900.0|\"Awaits\":[\"j-000001\",\"x-2\"]|Awaits",
            "\"DueS\":900.0|\"Awaits\":[\"\"]|Awaits",
        ],
    )
    fun `the refusal of a submission names the invalid field`(from: String, to: String?, field: String) {
        val body = validSubmission.replace(from, to.orEmpty())
        assertTrue(body != validSubmission)
        val failure = assertThrows(MalformedMessageException::class.java) { parseSubmission(body.encodeToByteArray()) }
        assertTrue(failure.message!!.contains(field), failure.message)
    }

    @ParameterizedTest
    @ValueSource(strings = ["", "{", "[]", "7", "null", "\"x\"", "{\"Uid\":}", "nonsense"])
    fun `a submission that is not a JSON object is refused`(body: String) {
        assertThrows(MalformedMessageException::class.java) { parseSubmission(body.encodeToByteArray()) }
    }

    /** Guards against text that is not JSON and is accepted as a job, since the JSON library is lenient. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "8f", "8d", "0x1p3", "08", "+8", "8.", ".8", "8e", "-", "8 8", "NaN", "Infinity", "abc", "True", "nulll",
            "'a'", "\"a\nb\"", "\"a\u0000b\"", "[8f]", "[[abc]]", "{\"a\":{\"b\":08}}", "8\u00a0",
        ],
    )
    fun `a submission with a value that is not JSON is refused`(value: String) {
        for (field in listOf("Cores", "Extra")) {
            val body = validSubmission.replace("\"Cores\":8.0", "\"Cores\":8.0,\"$field\":$value")
            val failure =
                assertThrows(MalformedMessageException::class.java) { parseSubmission(body.encodeToByteArray()) }
            assertEquals("not JSON", failure.message)
        }
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "0", "-0", "8", "8.25", "-8.25e-3", "8E+2", "true", "false", "null", "\"\"", "\"a\\nb \\u0000 é\"", " [ ] ",
            "\t{\r\n}", "[1, 2]", "\"\\\"\"",
        ],
    )
    fun `a submission with any JSON value in an unknown field is decoded`(value: String) {
        val body = validSubmission.replace("{\"a\":1}", value)
        assertEquals("j-000412", parseSubmission(body.encodeToByteArray()).id)
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "", "{}", "[1]",
            """{"Holt":"","Breed":"g","Reach":"a","Dive":1,"Ripple":1}""",
            """{"Holt":"m","Breed":"g","Reach":"a","Dive":0,"Ripple":1}""",
            """{"Holt":"m","Breed":"g","Reach":"a","Dive":1,"Ripple":-1}""",
            """{"Holt":"m","Breed":"g","Reach":"a","Dive":1,"Ripple":1,"Chores":[{"Chore":"j-1","Try":1,"Mood":"running"}]}""",
            """{"Holt":"m","Breed":"g","Reach":"a","Dive":1,"Ripple":1,"Chores":[{"Chore":"j-1/x","Try":1,"Mood":"running"}]}""",
            """{"Holt":"m","Breed":"g","Reach":"a","Dive":1,"Ripple":1,"Chores":[{"Chore":"j-1/0","Try":1,"Mood":"flying"}]}""",
            """{"Holt":"m","Breed":"g","Reach":"a","Dive":1,"Ripple":1,"Chores":7}""",
        ],
    )
    fun `a malformed heartbeat is refused`(body: String) {
        assertThrows(MalformedMessageException::class.java) { parseHeartbeat(body.encodeToByteArray()) }
    }

    /** Guards against names that fill the heap, where they are kept, or a record, where they are stored. */
    @ParameterizedTest
    @CsvSource("Holt,m", "Endpoint,e", "Breed,g", "Reach,a", "Chore,j-1/0")
    fun `a heartbeat with a name that is too long is refused`(field: String, value: String) {
        val body = """{"Holt":"m","Endpoint":"e","Breed":"g","Reach":"a","Dive":1,"Ripple":1,""" +
            """"Chores":[{"Chore":"j-1/0","Try":1,"Mood":"running"}]}"""
        for ((length, isValid) in listOf(200 to true, 201 to false, 60_000 to false)) {
            val changed = body.replace(""""$field":"$value"""", """"$field":"${value.padStart(length, 'x')}"""")
            val read = runCatching { parseHeartbeat(changed.encodeToByteArray()) }
            assertEquals(isValid, read.isSuccess, "$field of $length characters")
            assertTrue(isValid || read.exceptionOrNull() is MalformedMessageException)
        }
    }

    @ParameterizedTest
    @CsvSource(
        "done,DONE",
        "stopped,STOPPED",
        "error,ERROR",
        "no_room,NO_ROOM",
        "busy,BUSY",
        "unknown,UNKNOWN",
        "x,UNRECOGNIZED",
    )
    fun `exit causes are decoded and one of a later version is unrecognized`(text: String, cause: ExitCause) {
        val task = """{"Chore":"j-1/0","Try":1,"Mood":"exited","Cause":"$text"}"""
        val body = """{"Holt":"m","Breed":"g","Reach":"a","Dive":1,"Ripple":1,"Chores":[$task]}"""
        assertEquals(cause, parseHeartbeat(body.encodeToByteArray()).tasks.single().cause)
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            "0|j-1/0|Holt, Dive, Ripple or Warrant out of range",
            "1|j-1|Chore is not a task",
            "1|j-1/0|Mood of a task is unknown",
        ],
    )
    fun `an unknown task state is reported after all other errors`(epoch: Int, task: String, refusal: String) {
        val body = """{"Holt":"m","Breed":"g","Reach":"a","Dive":$epoch,"Ripple":1,""" +
            """"Chores":[{"Chore":"$task","Try":1,"Mood":"flying"}]}"""
        val failure = assertThrows(MalformedMessageException::class.java) { parseHeartbeat(body.encodeToByteArray()) }
        assertEquals(refusal, failure.message)
    }

    @Test
    fun `a machine state of a later version of the cloud is decoded as unrecognized`() {
        val body = """{"Holts":[{"Uid":"m-1","Breed":"g8","Reach":"a","Mood":"parked"}]}"""
        val machine = WireJson.decodeFromString(MachineList.serializer(), body).machines.single()
        assertEquals(ListedMachineState.UNRECOGNIZED, machine.state)
    }

    @Test
    fun `peer messages decode to what was encoded and malformed ones are refused`() {
        for (message in listOf(
            PeerMessage.IdlePartitionQuery,
            PeerMessage.IdlePartitionAnnouncement("gdansk", 77, 3),
            PeerMessage.IdleAnnouncementWithdrawn("łódź", 78),
            PeerMessage.IdlePartitionCount(2, true),
            PeerMessage.IdlePartitionCount(0, false),
        )) {
            val frame = PeerCodec.encode(message)
            assertEquals(message, PeerCodec.decode(frame.copyOfRange(4, frame.size)))
        }
        val request = PeerMessage.RelayRequest("POST", "/txn", "{}".encodeToByteArray(), 2_500)
        val decoded = PeerCodec.decode(
            PeerCodec.encode(request).let { it.copyOfRange(4, it.size) },
        ) as PeerMessage.RelayRequest
        assertEquals(
            listOf("POST", "/txn", "{}", 2_500),
            listOf(decoded.method, decoded.target, decoded.body!!.decodeToString(), decoded.timeoutMs),
        )
        val withoutBody = PeerCodec.decode(
            PeerCodec.encode(PeerMessage.RelayRequest("GET", "/store", null, 1)).let { it.copyOfRange(4, it.size) },
        ) as PeerMessage.RelayRequest
        assertEquals(null, withoutBody.body)
        val response = PeerCodec.decode(
            PeerCodec.encode(PeerMessage.RelayResponse(409, "[]".encodeToByteArray()))
                .let { it.copyOfRange(4, it.size) },
        ) as PeerMessage.RelayResponse
        assertEquals(409 to "[]", response.status to response.body.decodeToString())
        assertEquals(
            PeerMessage.Unknown(9),
            PeerCodec.decode(byteArrayOf(9, 1, 2)),
            "a message type of a later version is decoded, so that the connection is kept",
        )
        for (malformed in listOf(byteArrayOf(2, 0), byteArrayOf(1, 1), byteArrayOf())) {
            assertThrows(MalformedMessageException::class.java) { PeerCodec.decode(malformed) }
        }
    }
}
