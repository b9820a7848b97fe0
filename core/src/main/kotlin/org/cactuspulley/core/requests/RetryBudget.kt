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
    private var reservedRetries = 0
    private val availableRetries: Double get() = minOf(heldRetries, burst() - reservedRetries)

    /** Creates a budget that starts full and whose maximum number of retries is always [burst]. */
    public constructor(fraction: Double, burst: Double) : this(fraction, burst, { burst })

    /** Adds the credit of a new request. */
    public fun credit() {
        heldRetries = minOf(burst() - reservedRetries, availableRetries + fraction)
    }

    /** Whether the budget holds at least one retry that is not reserved. */
    public val hasRetry: Boolean get() = availableRetries >= 1.0

    /** Takes one retry from the budget, which is sent immediately. Returns false if less than one is left. */
    public fun tryTake(): Boolean = tryReserve().also { if (it) useReserved() }

    /**
     * Reserves one retry that is sent later, if at all. Returns false if less than one is left. Until it is used, the budget earns no
     * other in its place, so that retries that have waited don't come on top of a full budget.
     */
    public fun tryReserve(): Boolean {
        if (!hasRetry) return false
        heldRetries = availableRetries - 1.0
        reservedRetries++
        return true
    }

    /** Takes a reserved retry from the budget, because it is sent. */
    public fun useReserved() {
        check(reservedRetries > 0) { "no retry is reserved" }
        reservedRetries--
    }

    /** Returns a reserved retry to the budget, because it won't be sent. */
    public fun returnReserved() {
        useReserved()
        heldRetries += 1.0
    }
}
