package org.cactuspulley.standins.trace

import org.cactuspulley.standins.deployment.DeploymentPlan
import org.cactuspulley.standins.deployment.PrefixLevel
import org.cactuspulley.standins.deployment.TrafficClass
import org.cactuspulley.standins.deployment.traffic
import java.util.Random
import kotlin.math.ln
import kotlin.math.pow

/** Which incidents a generated trace has. */
public enum class FaultSet(public val text: String) {
    NONE("none"),
    LISTED("listed"),
}

/** Makes traces with the shapes of a deployment's traffic. The same seed gives the same trace. */
public class TraceGenerator(private val plan: DeploymentPlan, private val seed: Long, private val seconds: Int) {
    private val millis = seconds * MILLIS_PER_SECOND

    /** The trace with the incidents of [faults]. */
    public fun generate(faults: FaultSet): Trace {
        val random = Random(seed)
        val shiftMillis = if (faults == FaultSet.LISTED) millis / 2 else Long.MAX_VALUE
        val arrivals = plan.traffic.flatMapIndexed { index, traffic -> arrivals(traffic, index, Random(random.nextLong()), shiftMillis) }
        val incidents = if (faults == FaultSet.LISTED) ListedFaults(plan, Random(random.nextLong()), millis).generate() else emptyList()
        val resends = if (faults == FaultSet.LISTED) resends(arrivals, Random(random.nextLong())) else emptyList()
        val events = (arrivals + resends + incidents).sortedBy { it.atMillis }
        return Trace(TraceStart(deployment = plan.name, seed = seed, seconds = seconds, faults = faults.text), events)
    }

    private fun arrivals(traffic: TrafficClass, classIndex: Int, random: Random, shiftMillis: Long): List<TraceArrival> {
        val arrivals = ArrayList<TraceArrival>()
        var time = 0.0
        while (true) {
            val rate = traffic.requestsPerSecond * if (inSurge(time.toLong())) traffic.surgeFactor else 1.0
            time += -ln(1.0 - random.nextDouble()) / rate * MILLIS_PER_SECOND
            if (time >= millis) return arrivals
            val id = "${plan.name}-$classIndex-${arrivals.size}"
            arrivals.add(arrival(traffic, id, time.toLong(), random, shifted = time >= shiftMillis))
        }
    }

    private fun inSurge(time: Long) = time >= millis / 4 && time < millis / 2

    private fun arrival(traffic: TrafficClass, id: String, time: Long, random: Random, shifted: Boolean): TraceArrival {
        val oldKey = random.nextInt(OLD_KEY_EVERY) == 0
        val path = traffic.path
        if (path != null) return TraceCall(time, id, traffic.workspace, traffic.profile, path, oldKey)
        return TraceCompletion(
            atMillis = time,
            id = id,
            workspace = traffic.workspace,
            profile = traffic.profile,
            model = plan.model,
            prompt = prompt(traffic, id, random, shifted),
            outputTokens = within(traffic.outputTokens, random),
            mayWait = plan.profiles.first { it.name == traffic.profile }.mayWait,
            oldKey = oldKey,
        )
    }

    private fun prompt(traffic: TrafficClass, id: String, random: Random, shifted: Boolean): List<PromptLevel> {
        var name = traffic.workspace.text
        val shared = traffic.prefixLevels.map { level ->
            name = "$name/${level.name}-${draw(level, random, shifted)}"
            PromptLevel(name, within(level.tokens, Random(name.hashCode().toLong())))
        }
        return shared + PromptLevel("question-$id", within(traffic.uniqueTokens, random))
    }

    private fun draw(level: PrefixLevel, random: Random, shifted: Boolean): Int {
        val weights = List(level.count) { 1.0 / (it + 1).toDouble().pow(level.zipfExponent) }
        var point = random.nextDouble() * weights.sum()
        val rank = weights.indexOfFirst { weight ->
            point -= weight
            point < 0
        }.coerceAtLeast(0)
        return if (shifted) level.count - 1 - rank else rank
    }

    private fun within(range: IntRange, random: Random) = range.first + random.nextInt(range.last - range.first + 1)

    private fun resends(arrivals: List<TraceArrival>, random: Random): List<TraceArrival> {
        val calls = arrivals.filterIsInstance<TraceCall>().filter { random.nextInt(RESEND_EVERY) == 0 }
        val repeated = calls.map { it.copy(atMillis = it.atMillis + RESEND_MILLIS, id = "${it.id}-again", resendOf = it.id) }
        val poison = arrivals.filterIsInstance<TraceCompletion>().first {
            it.atMillis >= millis * 3 / 5
        }.copy(poison = true, oldKey = false)
        val first = poison.copy(id = "${poison.id}-poison")
        val repeats = (1..POISON_RESENDS).map {
            first.copy(atMillis = poison.atMillis + it * RESEND_MILLIS, id = "${first.id}-$it", resendOf = first.id)
        }
        return repeated + first + repeats
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000L
        const val OLD_KEY_EVERY = 20
        const val RESEND_EVERY = 6
        const val RESEND_MILLIS = 700L
        const val POISON_RESENDS = 4
    }
}
