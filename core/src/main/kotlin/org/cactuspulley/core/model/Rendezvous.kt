/*
 * Rendezvous hashing. All processes that know the same candidates rank them identically for a key.
 * Adding or removing a candidate moves only the keys that are assigned to it.
 */
package org.cactuspulley.core.model

import com.dynatrace.hash4j.hashing.Hashing

/** Ranks [candidates] for [key] by descending weight; [nameOf] returns the stable name of a candidate. */
public fun <T> rendezvousRank(key: String, candidates: Collection<T>, nameOf: (T) -> String): List<T> =
    candidates.map { it to rendezvousWeight(key, nameOf(it)) }
        .sortedWith(compareByDescending<Pair<T, Long>> { it.second }.thenBy { nameOf(it.first) })
        .map { it.first }

/** Returns the weight of [candidate] for [key]. The candidate with the highest weight ranks first. */
public fun rendezvousWeight(key: String, candidate: String): Long =
    Hashing.xxh3_64().hashCharsToLong("$key\u0000$candidate")
