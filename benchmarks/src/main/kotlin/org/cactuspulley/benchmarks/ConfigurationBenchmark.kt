package org.cactuspulley.benchmarks

import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.configuration.KeyGrant
import org.cactuspulley.core.configuration.Profile
import org.cactuspulley.core.configuration.Workspace
import org.cactuspulley.core.configuration.applyRecord
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.RecordId
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.record.GiveKey
import org.cactuspulley.core.record.LogRecord
import org.cactuspulley.core.record.PutProfile
import org.cactuspulley.core.record.PutWorkspace
import org.cactuspulley.core.record.StoredRecord
import org.cactuspulley.core.record.WithdrawKey
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Measurement
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.State
import org.openjdk.jmh.annotations.Warmup
import java.util.concurrent.TimeUnit

/** Measures applying 10,000 operator records to a configuration: 100 profiles, 2,400 workspaces, and keys that are given and withdrawn. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 2)
@Measurement(iterations = 3, time = 2)
public open class ConfigurationBenchmark {
    private val records = List(RECORD_COUNT) { StoredRecord(LogOffset(it.toLong()), RecordId("r$it"), createRecord(it)) }

    private fun createRecord(number: Int): LogRecord = when {
        number < PROFILE_COUNT -> PutProfile(Profile(ProfileName("p$number"), 1_000, 1_000))

        number < PROFILE_COUNT + WORKSPACE_COUNT -> PutWorkspace(
            Workspace(workspaceId(number - PROFILE_COUNT), listOf(ProfileName("p${number % PROFILE_COUNT}"))),
        )

        number % 3 == 0 -> WithdrawKey(keyDigest(number - 1))

        else -> GiveKey(KeyGrant(keyDigest(number), workspaceId(number % WORKSPACE_COUNT), "key"))
    }

    private fun workspaceId(number: Int) = WorkspaceId("workspace-$number")

    private fun keyDigest(number: Int) = KeyDigest("%064x".format(number))

    /** Folds all records into a configuration. */
    @Benchmark
    public open fun fold(): Configuration = records.fold(Configuration()) { state, record -> state.applyRecord(record).configuration }

    private companion object {
        const val RECORD_COUNT = 10_000
        const val PROFILE_COUNT = 100
        const val WORKSPACE_COUNT = 2_400
    }
}
