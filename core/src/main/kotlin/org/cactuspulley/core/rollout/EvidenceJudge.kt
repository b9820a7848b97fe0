/*
 * Compares the new version with the old one by route and over several periods: since the order, which is the most evidence, and over
 * the last seconds, so that a version that turns bad late is not excused by its good responses of before.
 */
package org.cactuspulley.core.rollout

import org.cactuspulley.core.model.RouteName
import java.util.Locale
import kotlin.math.exp
import kotlin.math.ln

/** Judges new versions by the evidence of all instances. */
internal class EvidenceJudge(private val settings: ReleaseSettings) {
    /** The responses of the new and of the old versions on one route. */
    private class Comparison(val new: RouteEvidence, val old: RouteEvidence)

    /** How many of [trials] responses were [bad], of which [usual] is the usual fraction. */
    private class Sample(val subject: String, val bad: Long, val trials: Long, val usual: Double)

    /**
     * Returns the verdict on [version] by [total], the evidence since the order, and the evidence of the [recent] periods. [required] is
     * the number of responses without which it is not healthy.
     */
    fun verdict(version: String, total: ReleaseEvidence, recent: List<ReleaseEvidence>, required: Int): ReleaseVerdict {
        val whole = compare(version, total)
        var isSuspect = false
        for (period in listOf(whole) + recent.map { compare(version, it) }) {
            for (sample in samples(period, whole)) {
                val factor = likelihoodRatio(sample)
                if (factor >= FAULTY_RATIO) return ReleaseVerdict.Faulty(describe(sample))
                if (factor >= SUSPECT_RATIO) isSuspect = true
            }
        }
        val responses = whole.values.sumOf { it.new.total.responses }
        val isEnough = responses >= required && whole.values.all { hasShare(it) }
        return if (isEnough && !isSuspect) ReleaseVerdict.Healthy else ReleaseVerdict.Undecided
    }

    /** Returns whether the new version was tried on the route about as often as its share of the requests demands. */
    private fun hasShare(comparison: Comparison): Boolean {
        val expected = (comparison.old.total.responses * settings.canaryRatio * ROUTE_FRACTION).toLong()
        return comparison.new.total.responses >= minOf(expected, ROUTE_RESPONSES)
    }

    private fun compare(version: String, evidence: ReleaseEvidence): Map<RouteName, Comparison> =
        evidence.routes.entries.groupBy { it.key.route }.mapValues { (_, entries) ->
            val (new, old) = entries.partition { it.key.version == version }
            Comparison(sum(new.map { it.value }), sum(old.map { it.value }))
        }

    private fun sum(evidence: List<RouteEvidence>) = evidence.fold(RouteEvidence(), RouteEvidence::plus)

    private fun samples(period: Map<RouteName, Comparison>, whole: Map<RouteName, Comparison>): List<Sample> {
        val byRoute = period.flatMap { (route, comparison) ->
            val total = comparison.new.total
            val references = listOfNotNull(comparison.old, whole[route]?.old)
            listOf(
                Sample("failures on ${route.text}", total.failures, total.responses, usualRate(references, USUAL_FAILURES) { it.failures }),
                Sample("slow responses on ${route.text}", total.slow, total.responses, usualRate(references, USUAL_SLOW) { it.slow }),
                lateStarts(route, comparison, whole[route]?.old ?: comparison.old),
            )
        }
        return byRoute + pooled("failures", byRoute) + pooled("slow responses", byRoute)
    }

    /** Returns the sum over all routes, of which each alone may show too little. */
    private fun pooled(subject: String, samples: List<Sample>): Sample {
        val parts = samples.filter { it.subject.startsWith(subject) }
        val trials = parts.sumOf { it.trials }
        val usual = if (trials == 0L) 0.5 else parts.sumOf { it.trials * it.usual } / trials
        return Sample("$subject on all routes", parts.sumOf { it.bad }, trials, usual)
    }

    /** Compares with the distribution of all old targets, which also judges the responses of instances that count no slow ones. */
    private fun lateStarts(route: RouteName, comparison: Comparison, reference: RouteEvidence): Sample {
        val limit = reference.starts.slowLimit()
        val trials = comparison.new.starts.count
        if (limit == null) return Sample("late starts on ${route.text}", 0, trials, USUAL_SLOW)
        // A slowdown of both versions in the period is none of the new one.
        val usual = listOf(reference, comparison.old).filter { it.starts.count >= MINIMUM_TARGET_RESPONSES }
            .maxOfOrNull { it.starts.countAbove(limit).toDouble() / it.starts.count } ?: 0.0
        val usualRate = (usual * RATE_MARGIN).coerceIn(USUAL_SLOW, MAXIMUM_RATE)
        return Sample("late starts on ${route.text}", comparison.new.starts.countAbove(limit), trials, usualRate)
    }

    /**
     * Returns the rate of bad responses to expect: that of the median target of the old version, so that a target that fails on its own
     * excuses nothing. The largest of the [references] counts.
     */
    private fun usualRate(references: List<RouteEvidence>, minimum: Double, bad: (TargetEvidence) -> Long): Double {
        val rates = references.mapNotNull { reference ->
            val known = reference.targets.values.filter { it.responses >= MINIMUM_TARGET_RESPONSES }
            known.map { bad(it).toDouble() / it.responses }.sorted().let { it.getOrNull((it.size - 1) / 2) }
        }
        return ((rates.maxOrNull() ?: 0.0) * RATE_MARGIN).coerceIn(minimum, MAXIMUM_RATE)
    }

    /**
     * Returns how much more likely [sample] is with a larger rate than with the usual one, as the mean over several larger rates. With the
     * usual rate, the probability that it ever exceeds a number is at most the reciprocal of that number, however often it is evaluated
     * (Ville's inequality).
     */
    private fun likelihoodRatio(sample: Sample): Double {
        if (sample.trials == 0L) return 0.0
        val bad = minOf(sample.bad, sample.trials)
        val rates = FAULTY_RATES.filter { it >= minOf(2 * sample.usual, HIGHEST_FAULTY_RATE) }
        return rates.sumOf { rate ->
            exp(bad * ln(rate / sample.usual) + (sample.trials - bad) * ln((1 - rate) / (1 - sample.usual)))
        } / rates.size
    }

    private fun describe(sample: Sample) =
        "${sample.bad} of ${sample.trials}: ${sample.subject}, usual fraction ${"%.3f".format(Locale.ROOT, sample.usual)}"

    private companion object {
        /** A good version is taken for a bad one with a probability of one in a thousand for each sample that is judged. */
        const val FAULTY_RATIO = 1_000.0

        /** A version whose responses are ten times as likely to be those of a bad one is not called healthy. */
        const val SUSPECT_RATIO = 10.0

        /** The rates of bad responses that a bad version may have. */
        val FAULTY_RATES = listOf(0.05, 0.1, 0.2, 0.4, 0.8)
        const val HIGHEST_FAULTY_RATE = 0.8

        /** The least rates to allow for, because the old version's few failures say little about rates that are smaller. */
        const val USUAL_FAILURES = 0.005
        const val USUAL_SLOW = 0.02

        /** Old rates above this say nothing about the new version. */
        const val MAXIMUM_RATE = 0.5

        /** Allows for the uncertainty of the observed old rate. */
        const val RATE_MARGIN = 1.25

        /** Fewer responses of a target, or of a period, give no rate. */
        const val MINIMUM_TARGET_RESPONSES = 5

        /** A route need not have had its full share, because the counts of single instances are rounded down. */
        const val ROUTE_FRACTION = 0.5

        /** The responses of one route that suffice: a version that fails every second time fails one of these with 97 %. */
        const val ROUTE_RESPONSES = 5L
    }
}
