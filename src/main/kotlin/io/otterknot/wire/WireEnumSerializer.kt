package io.otterknot.wire

import kotlinx.serialization.KSerializer
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** An enum entry that stands for the string [wireName] in messages. */
interface WireEnum {
    val wireName: String
}

/**
 * Reads and writes an enum as a plain string. Strings that this version does not know become [unrecognized]: the sender
 * may be newer, and whether that is refused is up to the code that reads the message, not to the decoder.
 */
abstract class WireEnumSerializer<E : WireEnum>(serialName: String, entries: List<E>, private val unrecognized: E) :
    KSerializer<E> {
    private val byWireName = entries.associateBy { it.wireName }

    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor(serialName, PrimitiveKind.STRING)

    override fun serialize(encoder: Encoder, value: E) = encoder.encodeString(value.wireName)

    override fun deserialize(decoder: Decoder): E = byWireName[decoder.decodeString()] ?: unrecognized
}
