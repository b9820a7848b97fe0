package org.cactuspulley.core.requests

/** A token bucket that allows retries as a fraction of the traffic, so that failures can't multiply load. */
public class RetryBudget(private val fraction: Double, private var burst: Double) {
    private var tokens = burst

    /** Takes note of a new request. */
    public fun credit() {
        tokens = minOf(burst, tokens + fraction)
    }

    /** Takes one retry; false if none is left. */
    public fun tryTake(): Boolean {
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    /** Changes how many retries may be saved up; what is saved beyond that is lost. */
    public fun resize(newBurst: Double) {
        burst = newBurst
        tokens = tokens.coerceAtMost(newBurst)
    }
}
