package org.cactuspulley.standins.trace

import org.cactuspulley.standins.deployment.DeploymentPlan
import org.cactuspulley.standins.deployment.PrefixLevel
import org.cactuspulley.standins.deployment.TrafficClass
import org.cactuspulley.standins.deployment.traffic
import java.util.Random
import kotlin.math.ln
import kotlin.math.pow

/** The incidents that a generated trace has; [text] is the name in options and in the trace. */
public enum class FaultSet(public val text: String) {
    NONE("none"),
    LISTED("listed"),
}

/**
 * Generates traces from the traffic classes of a deployment. Equal seeds give equal traces.
 *
 * @property seconds the length of the trace, in seconds.
 */
public class TraceGenerator(private val plan: DeploymentPlan, private val seed: Long, private val seconds: Int) {
    private val traceMillis = seconds * MILLIS_PER_SECOND

    /** Generates a trace with the incidents of [faults]. */
    public fun generate(faults: FaultSet): Trace {
        val random = Random(seed)
        val shiftMillis = if (faults == FaultSet.LISTED) traceMillis / 2 else Long.MAX_VALUE
        val arrivals = plan.traffic.flatMapIndexed { index, traffic -> arrivals(traffic, index, Random(random.nextLong()), shiftMillis) }
        val incidents = if (faults == FaultSet.LISTED) {
            IncidentSchedule(plan, Random(random.nextLong()), traceMillis).generate()
        } else {
            emptyList()
        }
        val resends = if (faults == FaultSet.LISTED) resends(arrivals, Random(random.nextLong())) else emptyList()
        val events = (arrivals + resends + incidents).sortedBy { it.atMillis }
        return Trace(TraceStart(deployment = plan.name, seed = seed, seconds = seconds, faults = faults.text), events)
    }

    /** Generates Poisson arrivals of one traffic class; from [shiftMillis] on, other prefixes are popular. */
    private fun arrivals(traffic: TrafficClass, classIndex: Int, random: Random, shiftMillis: Long): List<TraceArrival> {
        val arrivals = ArrayList<TraceArrival>()
        var atMillis = 0.0
        while (true) {
            val rate = traffic.requestsPerSecond * if (inSurge(atMillis.toLong())) traffic.surgeFactor else 1.0
            atMillis += -ln(1.0 - random.nextDouble()) / rate * MILLIS_PER_SECOND
            if (atMillis >= traceMillis) return arrivals
            val id = "${plan.name}-$classIndex-${arrivals.size}"
            arrivals.add(arrival(traffic, id, atMillis.toLong(), random, shifted = atMillis >= shiftMillis))
        }
    }

    /** Whether [atMillis] is in the second quarter of the trace, in which the rates are multiplied by their surge. */
    private fun inSurge(atMillis: Long) = atMillis >= traceMillis / 4 && atMillis < traceMillis / 2

    private fun arrival(traffic: TrafficClass, id: String, atMillis: Long, random: Random, shifted: Boolean): TraceArrival {
        val oldKey = random.nextInt(REQUESTS_PER_OLD_KEY) == 0
        val path = traffic.path
        if (path != null) return TraceCall(atMillis, id, traffic.workspace, traffic.profile, path, oldKey)
        return TraceCompletion(
            atMillis = atMillis,
            id = id,
            workspace = traffic.workspace,
            profile = traffic.profile,
            model = plan.model,
            prompt = prompt(traffic, id, random, shifted),
            outputTokens = randomIn(traffic.outputTokens, random),
            mayWait = plan.profiles.first { it.name == traffic.profile }.mayWait,
            oldKey = oldKey,
        )
    }

    /** The length of a shared level is derived from its id alone, so that equal ids have equal lengths. */
    private fun prompt(traffic: TrafficClass, id: String, random: Random, shifted: Boolean): List<PromptLevel> {
        var levelId = traffic.workspace.text
        val sharedLevels = traffic.prefixLevels.map { level ->
            levelId = "$levelId/${level.name}-${sampleIndex(level, random, shifted)}"
            PromptLevel(levelId, randomIn(level.tokens, Random(levelId.hashCode().toLong())))
        }
        return sharedLevels + PromptLevel("question-$id", randomIn(traffic.uniqueTokens, random))
    }

    /** Samples a text of [level] from a Zipf distribution; [shifted] reverses the order of popularity. */
    private fun sampleIndex(level: PrefixLevel, random: Random, shifted: Boolean): Int {
        val weights = List(level.count) { 1.0 / (it + 1).toDouble().pow(level.zipfExponent) }
        var remaining = random.nextDouble() * weights.sum()
        val rank = weights.indexOfFirst { weight ->
            remaining -= weight
            remaining < 0
        }.coerceAtLeast(0)
        return if (shifted) level.count - 1 - rank else rank
    }

    private fun randomIn(range: IntRange, random: Random) = range.first + random.nextInt(range.last - range.first + 1)

    /** Generates resends of one in six service calls, and one poison completion with its resends. */
    private fun resends(arrivals: List<TraceArrival>, random: Random): List<TraceArrival> {
        val calls = arrivals.filterIsInstance<TraceCall>().filter { random.nextInt(CALLS_PER_RESEND) == 0 }
        val resentCalls = calls.map { it.copy(atMillis = it.atMillis + RESEND_INTERVAL_MILLIS, id = "${it.id}-again", resendOf = it.id) }
        val original = arrivals.filterIsInstance<TraceCompletion>().first {
            it.atMillis >= traceMillis * 3 / 5
        }.copy(poison = true, oldKey = false)
        val firstPoison = original.copy(id = "${original.id}-poison")
        val poisonResends = (1..POISON_RESENDS).map {
            firstPoison.copy(
                atMillis = original.atMillis + it * RESEND_INTERVAL_MILLIS,
                id = "${firstPoison.id}-$it",
                resendOf = firstPoison.id,
            )
        }
        return resentCalls + firstPoison + poisonResends
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000L
        const val REQUESTS_PER_OLD_KEY = 20
        const val CALLS_PER_RESEND = 6
        const val RESEND_INTERVAL_MILLIS = 700L
        const val POISON_RESENDS = 4
    }
}
