package org.cactuspulley.benchmarks

import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Measurement
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.State
import org.openjdk.jmh.annotations.Warmup
import java.security.MessageDigest
import java.util.concurrent.TimeUnit

/** Measures work that does not depend on this project, as the unit for comparing runs on different machines. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public open class ReferenceBenchmark {
    private val data = ByteArray(4096) { it.toByte() }

    /** Computes the SHA-256 digest of 4 KiB. */
    @Benchmark
    public open fun digest(): ByteArray = MessageDigest.getInstance("SHA-256").digest(data)
}
