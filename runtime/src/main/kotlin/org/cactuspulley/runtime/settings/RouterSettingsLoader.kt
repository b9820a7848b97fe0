package org.cactuspulley.runtime.settings

import com.akuleshov7.ktoml.Toml
import com.akuleshov7.ktoml.exceptions.TomlDecodingException
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.MissingFieldException
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementNames
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Reads and validates the settings in [file]. */
public fun loadRouterSettings(file: Path): Result<RouterSettings, SettingsError> =
    read(file).andThen { parseRouterSettings(it, file.toString()) }

/** Parses and validates settings from [text]. Errors refer to [file]. */
public fun parseRouterSettings(text: String, file: String): Result<RouterSettings, SettingsError> =
    decode(RouterSettings.serializer(), text, file).andThen { requireValid(it, validate(it, file)) }

/** Reads and validates the settings of a forwarding instance in [file]. */
public fun loadForwardingSettings(file: Path): Result<ForwardingSettings, SettingsError> =
    read(file).andThen { parseForwardingSettings(it, file.toString()) }

/** Parses and validates settings of a forwarding instance from [text]. Errors refer to [file]. */
public fun parseForwardingSettings(text: String, file: String): Result<ForwardingSettings, SettingsError> =
    decode(ForwardingSettings.serializer(), text, file).andThen { requireValid(it, validate(it, file)) }

private fun read(file: Path): Result<String, SettingsError> = try {
    Ok(Files.readString(file))
} catch (failure: IOException) {
    Err(SettingsError.FileUnreadable(file.toString(), "${failure.javaClass.simpleName} ${failure.message}"))
}

private fun <T> requireValid(settings: T, problem: SettingsError?): Result<T, SettingsError> =
    if (problem == null) Ok(settings) else Err(problem)

@OptIn(ExperimentalSerializationApi::class)
private fun <T> decode(serializer: KSerializer<T>, text: String, file: String): Result<T, SettingsError> = try {
    Ok(Toml.decodeFromString(serializer, text))
} catch (failure: MissingFieldException) {
    Err(SettingsError.KeyMissing(file, failure.missingFields.joinToString()))
} catch (failure: TomlDecodingException) {
    Err(decodingError(failure.message.orEmpty(), file, serializer.descriptor))
} catch (failure: SerializationException) {
    Err(decodingError(failure.message.orEmpty(), file, serializer.descriptor))
} catch (failure: IllegalArgumentException) {
    Err(decodingError(failure.message.orEmpty(), file, serializer.descriptor))
}

// These patterns extract the key from the messages of decoding errors, which contain it only as text.
private val MISSING_KEY_PATTERN = Regex("""[Mm]issing.*?<([^>]+)>|Field '([^']+)' is required""")
private val UNKNOWN_KEY_PATTERN = Regex("""[Uu]nknown.*?<([^>]+)>(?:.*?<([^>]+)>)?""")

private fun decodingError(message: String, file: String, descriptor: SerialDescriptor): SettingsError {
    MISSING_KEY_PATTERN.find(message)?.let { match ->
        return SettingsError.KeyMissing(file, match.groupValues.drop(1).first(String::isNotEmpty))
    }
    UNKNOWN_KEY_PATTERN.find(message)?.let { match -> return SettingsError.KeyUnknown(file, match.groupValues[1], keysOf(descriptor, "")) }
    return SettingsError.Malformed(file, message.lineSequence().first())
}

@OptIn(ExperimentalSerializationApi::class)
private fun keysOf(descriptor: SerialDescriptor, prefix: String): List<String> =
    descriptor.elementNames.flatMapIndexed { index, name ->
        val element = descriptor.getElementDescriptor(index)
        val isSection = element.kind == StructureKind.CLASS
        if (isSection) keysOf(element, "$prefix$name.") else listOf("$prefix$name")
    }
