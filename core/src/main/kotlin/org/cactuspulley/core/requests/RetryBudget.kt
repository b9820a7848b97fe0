package org.cactuspulley.core.requests

/**
 * A token bucket that limits retries to a fraction of the traffic, so that failures can't multiply the load.
 *
 * @param fraction the number of retries that each new request adds.
 * @param burst the maximum number of retries that the budget holds; the budget starts full.
 */
public class RetryBudget(private val fraction: Double, private var burst: Double) {
    private var availableRetries = burst

    /** Adds the credit of a new request. */
    public fun credit() {
        availableRetries = minOf(burst, availableRetries + fraction)
    }

    /** Whether the budget holds at least one retry. */
    public val hasRetry: Boolean get() = availableRetries >= 1.0

    /** Takes one retry from the budget. Returns false if less than one is left. */
    public fun tryTake(): Boolean {
        if (!hasRetry) return false
        availableRetries -= 1.0
        return true
    }

    /** Sets the maximum number of retries that the budget holds and drops any excess. */
    public fun resize(newBurst: Double) {
        burst = newBurst
        availableRetries = availableRetries.coerceAtMost(newBurst)
    }
}
