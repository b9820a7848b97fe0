/*
 * Runs the benchmarks of the core's decisions in this process and prints the time of each as a ratio to
 * the reference benchmark of the same run. The JMH harness classes are generated from the compiled
 * benchmarks at the start of the run, so that the build needs no generator step.
 */
package org.cactuspulley.benchmarks

import org.cactuspulley.core.configuration.Configuration
import org.openjdk.jmh.generators.bytecode.JmhBytecodeGenerator
import org.openjdk.jmh.results.RunResult
import org.openjdk.jmh.runner.Runner
import org.openjdk.jmh.runner.options.CommandLineOptions
import org.openjdk.jmh.runner.options.OptionsBuilder
import java.nio.file.Files
import java.nio.file.Path
import javax.tools.ToolProvider
import kotlin.io.path.extension
import kotlin.streams.toList
import kotlin.system.exitProcess

private const val REFERENCE_BENCHMARK = "ReferenceBenchmark"

/** Generates and compiles the harness, then runs JMH with [arguments], which are its usual command-line options. */
public fun main(arguments: Array<String>) {
    val classDirectory = codeLocationOf(ReferenceBenchmark::class.java)
    val sourceDirectory = Files.createTempDirectory("benchmarks")
    JmhBytecodeGenerator.main(arrayOf(classDirectory.toString(), sourceDirectory.toString(), classDirectory.toString()))
    if (!compileHarness(sourceDirectory, classDirectory)) exitProcess(1)
    val options = OptionsBuilder().parent(CommandLineOptions(*arguments)).forks(0).build()
    printRatios(Runner(options).run())
}

/** Compiles the Java files below [sourceDirectory] into [classDirectory] and returns whether the compiler succeeded. */
private fun compileHarness(sourceDirectory: Path, classDirectory: Path): Boolean {
    val sourceFiles = Files.walk(sourceDirectory).use { all -> all.filter { it.extension == "java" }.map { it.toString() }.toList() }
    val classPath = listOf(ReferenceBenchmark::class.java, Configuration::class.java, Runner::class.java, Unit::class.java)
        .map { codeLocationOf(it) }.distinct().joinToString(java.io.File.pathSeparator)
    val compilerOptions = arrayOf("-nowarn", "-proc:none", "-d", classDirectory.toString(), "-cp", classPath)
    return ToolProvider.getSystemJavaCompiler().run(null, null, null, *compilerOptions, *sourceFiles.toTypedArray()) == 0
}

/** Returns the directory or the jar that [type] was loaded from. */
private fun codeLocationOf(type: Class<*>): Path = Path.of(type.protectionDomain.codeSource.location.toURI())

/** Prints the time of each benchmark as a ratio to the reference benchmark; prints nothing if that did not run. */
private fun printRatios(results: Collection<RunResult>) {
    val scores = results.associate { it.params.benchmark.substringAfter("benchmarks.") to it.primaryResult.score }
    val reference = scores.entries.firstOrNull { it.key.startsWith(REFERENCE_BENCHMARK) }?.value ?: return
    println("\nTime of one operation relative to one $REFERENCE_BENCHMARK (SHA-256 of 4 KiB) in this run:")
    scores.toSortedMap().forEach { (name, score) -> println("%-60s %12.3f".format(name, score / reference)) }
}
