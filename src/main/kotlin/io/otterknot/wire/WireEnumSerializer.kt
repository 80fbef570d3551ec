package io.otterknot.wire

import kotlinx.serialization.KSerializer
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** An enum entry that is written as the string [wireName] in messages. */
interface WireEnum {
    val wireName: String
}

/**
 * Reads and writes an enum as a plain string. A string that matches no entry is read as [unrecognized], since the
 * sender may run a newer version. The code that handles the message decides whether to refuse it.
 */
abstract class WireEnumSerializer<E : WireEnum>(serialName: String, entries: List<E>, private val unrecognized: E) :
    KSerializer<E> {
    private val byWireName = entries.associateBy { it.wireName }

    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor(serialName, PrimitiveKind.STRING)

    override fun serialize(encoder: Encoder, value: E) = encoder.encodeString(value.wireName)

    override fun deserialize(decoder: Decoder): E = byWireName[decoder.decodeString()] ?: unrecognized
}
