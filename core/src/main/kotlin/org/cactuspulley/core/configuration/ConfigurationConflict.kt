package org.cactuspulley.core.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.WorkspaceId

/** The reason why a record in the log was rejected and changed nothing. */
@Serializable
public sealed interface ConfigurationConflict {
    /** The value has changed since version [expected]; [actual] is its current version, or null if the value does not exist. */
    @Serializable
    @SerialName("version_conflict")
    public data class VersionConflict(val expected: LogOffset?, val actual: LogOffset?) : ConfigurationConflict

    /** The key already belongs to a workspace. */
    @Serializable
    @SerialName("key_exists")
    public data class KeyExists(val digest: KeyDigest) : ConfigurationConflict

    /** The key was withdrawn and can't be given to a workspace again. */
    @Serializable
    @SerialName("key_withdrawn")
    public data class KeyWithdrawn(val digest: KeyDigest) : ConfigurationConflict

    /** No workspace has this id. */
    @Serializable
    @SerialName("workspace_unknown")
    public data class WorkspaceUnknown(val id: WorkspaceId) : ConfigurationConflict

    /** No profile has this name. */
    @Serializable
    @SerialName("profile_unknown")
    public data class ProfileUnknown(val name: ProfileName) : ConfigurationConflict

    /** The profile can't be removed because [workspace] still lists it. */
    @Serializable
    @SerialName("profile_in_use")
    public data class ProfileInUse(val name: ProfileName, val workspace: WorkspaceId) : ConfigurationConflict

    /** The value of [field] is out of range; [allowed] describes the permitted values. */
    @Serializable
    @SerialName("value_not_allowed")
    public data class ValueNotAllowed(val field: String, val allowed: String) : ConfigurationConflict
}
