package org.cactuspulley.standins.server

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException

/**
 * Holds the injected faults of one stand-in. They are set through [faults] or by `POST /faults`,
 * which works whatever faults are set, and read by `GET /faults`.
 */
public class FaultControl<F>(initial: F, private val serializer: KSerializer<F>, private val onChange: (F) -> Unit = {}) {
    /** The injected faults; a new value applies at once. */
    @Volatile public var faults: F = initial
        set(value) {
            field = value
            onChange(value)
        }

    /** Handles [exchange] if its path is `/faults`; otherwise returns false and the stand-in has to handle it. */
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
