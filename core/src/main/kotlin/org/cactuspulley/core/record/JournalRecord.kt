package org.cactuspulley.core.record

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.journal.JournalEntry
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation

/** Entries of one intent stream that one instance appended in a batch. They are in order. */
@Serializable
@SerialName("journal")
public data class JournalRecord(
    val instance: InstanceId,
    val incarnation: InstanceIncarnation,
    val entries: List<JournalEntry>,
) : LogRecord
