package org.cactuspulley.runtime.settings

import com.akuleshov7.ktoml.exceptions.TomlDecodingException
import kotlinx.serialization.KSerializer
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Decodes a TOML float or integer as a double. TOML has separate types for the two, and the default serializer rejects integers. */
public object LenientDoubleSerializer : KSerializer<Double> {
    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("org.cactuspulley.Figure", PrimitiveKind.DOUBLE)

    override fun deserialize(decoder: Decoder): Double = try {
        decoder.decodeDouble()
    } catch (_: TomlDecodingException) {
        // The value is an integer, or it is invalid and decodeLong reports the error.
        decoder.decodeLong().toDouble()
    }

    override fun serialize(encoder: Encoder, value: Double): Unit = encoder.encodeDouble(value)
}
