package org.cactuspulley.standins.server

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException

/**
 * Holds the faults of one stand-in. They are set by a library call or by `POST /faults`, which is
 * answered whatever the faults are.
 */
public class FaultControl<F>(initial: F, private val serializer: KSerializer<F>, private val onChange: (F) -> Unit = {}) {
    /** The faults in force; setting them takes effect at once. */
    @Volatile public var faults: F = initial
        set(value) {
            field = value
            onChange(value)
        }

    /** Takes [exchange] when it is about faults; false leaves it to the stand-in. */
    public fun handle(exchange: HttpExchange): Boolean {
        if (exchange.path != "/faults") return false
        if (exchange.method == "POST") replaceFaults(exchange) else exchange.respondJson(200, serializer, faults)
        return true
    }

    private fun replaceFaults(exchange: HttpExchange) {
        try {
            faults = standinJson.decodeFromString(serializer, exchange.body.decodeToString())
            exchange.respond(204)
        } catch (failure: SerializationException) {
            exchange.respondError(400, "faults_unreadable", failure.message.orEmpty())
        }
    }
}
