package org.cactuspulley.runtime.settings

import com.akuleshov7.ktoml.exceptions.TomlDecodingException
import kotlinx.serialization.KSerializer
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Reads a number that may stand in the settings with or without a fraction; TOML keeps the two apart. */
public object LenientDoubleSerializer : KSerializer<Double> {
    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("org.cactuspulley.Figure", PrimitiveKind.DOUBLE)

    override fun deserialize(decoder: Decoder): Double = try {
        decoder.decodeDouble()
    } catch (_: TomlDecodingException) {
        // Not a TOML float: an integer, or an error that the second reading reports.
        decoder.decodeLong().toDouble()
    }

    override fun serialize(encoder: Encoder, value: Double): Unit = encoder.encodeDouble(value)
}
