/*
 * Integer arithmetic of rates and shares. One token is 16 billion units, so that a rate in tokens per second is a whole
 * number of units per nanosecond even after it is divided among the parts of several slots. Divisions round so that the
 * shares of an amount add up to exactly that amount.
 */
package org.cactuspulley.core.limits

internal const val UNITS_PER_TOKEN: Long = 16_000_000_000L

/** The largest burst of a bucket, in tokens; larger bursts are reduced to it. */
internal const val MAXIMUM_BURST_TOKENS: Long = 100_000_000L

/** The highest rate of a bucket, in tokens per second; higher rates are reduced to it. */
internal const val MAXIMUM_TOKENS_PER_SECOND: Long = 100_000_000L

private const val UNITS_PER_NANOSECOND_PER_TOKEN_PER_SECOND = 16L
private const val PER_MILLE = 1000L

/** Returns [tokens] in units; amounts beyond [MAXIMUM_BURST_TOKENS] in either direction are reduced to it. */
internal fun unitsOf(tokens: Long): Long = tokens.coerceIn(-MAXIMUM_BURST_TOKENS, MAXIMUM_BURST_TOKENS) * UNITS_PER_TOKEN

/** Returns the whole tokens in [units], rounded down. */
internal fun tokensOf(units: Long): Long = Math.floorDiv(units, UNITS_PER_TOKEN)

/** Returns a rate in units per nanosecond, reduced by what a clock that runs too fast would add. */
internal fun unitsPerNanosecond(tokensPerSecond: Long, clockDriftPerMille: Int): Long =
    tokensPerSecond.coerceIn(0, MAXIMUM_TOKENS_PER_SECOND) * UNITS_PER_NANOSECOND_PER_TOKEN_PER_SECOND *
        (PER_MILLE - clockDriftPerMille) / PER_MILLE

/** Returns the share of [total] between [fromWeight] and [toWeight] of [totalWeight]; adjacent shares add up without loss. */
internal fun shareOf(total: Long, fromWeight: Int, toWeight: Int, totalWeight: Int): Long =
    portion(total, toWeight, totalWeight) - portion(total, fromWeight, totalWeight)

private fun portion(total: Long, weight: Int, totalWeight: Int): Long =
    total / totalWeight * weight + total % totalWeight * weight / totalWeight

/** The largest result of [saturatedSum] and [saturatedProduct]. */
private const val SATURATION_UNITS = Long.MAX_VALUE / 4

/** Returns the sum of two non-negative amounts, limited to [SATURATION_UNITS]. */
internal fun saturatedSum(first: Long, second: Long): Long = (first + second.coerceAtMost(SATURATION_UNITS)).coerceAtMost(SATURATION_UNITS)

/** Returns the product of two non-negative amounts, limited to [SATURATION_UNITS]. */
internal fun saturatedProduct(first: Long, second: Long): Long =
    if (first != 0L && second > SATURATION_UNITS / first) SATURATION_UNITS else first * second
