package org.cactuspulley.core.requests

/**
 * A token bucket that limits retries to a fraction of the traffic, so that failures can't multiply the load.
 *
 * @param fraction the number of retries that each new request adds.
 * @param initialRetries the number of retries that the budget holds at first.
 * @param burst returns the maximum number of retries that the budget holds at present; any excess is lost.
 */
public class RetryBudget(private val fraction: Double, initialRetries: Double, private val burst: () -> Double) {
    private var heldRetries = initialRetries
    private val availableRetries: Double get() = minOf(heldRetries, burst())

    /** Creates a budget that starts full and whose maximum number of retries is always [burst]. */
    public constructor(fraction: Double, burst: Double) : this(fraction, burst, { burst })

    /** Adds the credit of a new request. */
    public fun credit() {
        heldRetries = minOf(burst(), availableRetries + fraction)
    }

    /** Whether the budget holds at least one retry. */
    public val hasRetry: Boolean get() = availableRetries >= 1.0

    /** Takes one retry from the budget. Returns false if less than one is left. */
    public fun tryTake(): Boolean {
        if (!hasRetry) return false
        heldRetries = availableRetries - 1.0
        return true
    }
}
