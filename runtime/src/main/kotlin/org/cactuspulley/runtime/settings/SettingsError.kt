package org.cactuspulley.runtime.settings

/** Describes why settings are invalid. */
public sealed interface SettingsError {
    /** The path of the settings file. */
    public val file: String

    /** A one-line description of the error. */
    public val message: String

    /** The file cannot be read. */
    public data class FileUnreadable(override val file: String, val reason: String) : SettingsError {
        override val message: String get() = "$file: cannot read the file: $reason"
    }

    /** The file is not valid TOML, or a value has the wrong type. */
    public data class Malformed(override val file: String, val reason: String) : SettingsError {
        override val message: String get() = "$file: $reason"
    }

    /** A required key is missing. */
    public data class KeyMissing(override val file: String, val key: String) : SettingsError {
        override val message: String get() = "$file: key $key is missing"
    }

    /** The key does not exist; [known] lists all keys that do. */
    public data class KeyUnknown(override val file: String, val key: String, val known: List<String>) : SettingsError {
        override val message: String get() = "$file: key $key is unknown; known keys: ${known.joinToString()}"
    }

    /** The value of a key is not allowed; [allowed] describes the allowed values. */
    public data class ValueNotAllowed(
        override val file: String,
        val key: String,
        val value: String,
        val allowed: String,
    ) : SettingsError {
        override val message: String get() = "$file: $key = $value is not allowed; allowed: $allowed"
    }
}
