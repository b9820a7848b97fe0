package org.cactuspulley.standins.list

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.cactuspulley.core.membership.Instance
import org.cactuspulley.core.platform.InstanceListPage
import org.cactuspulley.core.platform.ListedInstance
import org.cactuspulley.standins.server.FaultControl
import org.cactuspulley.standins.server.HttpExchange
import org.cactuspulley.standins.server.HttpServer
import org.cactuspulley.standins.server.standinJson

/**
 * The faults of the instance list.
 *
 * @property down whether the connection of every call is closed without a response.
 * @property lagMillis the age in milliseconds of the state that is returned; null keeps the default lag.
 */
@Serializable
public data class InstanceListFaults(val down: Boolean = false, @SerialName("lag_ms") val lagMillis: Long? = null)

/** A stand-in for the platform's list of live and leaving instances; reads return its state of [lagMillis] milliseconds ago. */
public class InstanceListStandin(
    host: String = "127.0.0.1",
    port: Int = 0,
    private val lagMillis: Long = 500,
) : AutoCloseable {
    private val changes = ArrayDeque<ListChange>()
    private val control = FaultControl(InstanceListFaults(), InstanceListFaults.serializer())
    private val server = HttpServer(host, port, ::handle)

    /** The address of this stand-in as `host:port`. */
    public val address: String get() = server.address

    /** The injected faults; a new value applies at once. */
    public var faults: InstanceListFaults by control::faults

    /** Returns the instances that are listed now, without the lag. */
    public fun current(): List<Instance> = instancesAt(System.currentTimeMillis())

    override fun close(): Unit = server.close()

    private fun handle(exchange: HttpExchange) {
        if (control.handle(exchange)) return
        if (faults.down) return exchange.disconnect()
        when (exchange.method) {
            "GET" -> respondWithList(exchange)
            "PUT" -> register(exchange)
            "DELETE" -> deregister(exchange)
            else -> exchange.respondError(405, "method_not_allowed")
        }
    }

    private fun respondWithList(exchange: HttpExchange) {
        val timeMillis = System.currentTimeMillis() - (faults.lagMillis ?: lagMillis)
        exchange.respondJson(200, InstanceListPage.serializer(), InstanceListPage(instancesAt(timeMillis), timeMillis))
    }

    private fun register(exchange: HttpExchange) {
        val entry = try {
            standinJson.decodeFromString(ListedInstance.serializer(), exchange.body.decodeToString())
        } catch (failure: SerializationException) {
            return exchange.respondError(400, "instance_unreadable", failure.message.orEmpty())
        }
        val now = System.currentTimeMillis()
        synchronized(changes) {
            val registered = entriesAt(now)[entry.instance.id.text]
            if (registered == null || registered.instance.incarnation <= entry.instance.incarnation) {
                recordChange(ListChange(now, entry.instance.id.text, ListEntry(entry.instance, now + entry.timeToLiveMillis)))
            }
        }
        exchange.respond(204)
    }

    private fun deregister(exchange: HttpExchange) {
        val id = exchange.path.substringAfterLast('/')
        val incarnation = exchange.parameter("incarnation")?.toLongOrNull() ?: Long.MAX_VALUE
        val now = System.currentTimeMillis()
        synchronized(changes) {
            val registered = entriesAt(now)[id]
            if (registered != null && registered.instance.incarnation.number <= incarnation) recordChange(ListChange(now, id, null))
        }
        exchange.respond(204)
    }

    private fun recordChange(change: ListChange) {
        changes.addLast(change)
        if (changes.size > COMPACTION_THRESHOLD) compact()
    }

    private fun compact() {
        val timeMillis = System.currentTimeMillis() - maxOf(lagMillis, faults.lagMillis ?: 0)
        val entries = entriesAt(timeMillis)
        val laterChanges = changes.filter { it.timeMillis > timeMillis }
        changes.clear()
        entries.forEach { (id, entry) -> changes.addLast(ListChange(timeMillis, id, entry)) }
        changes.addAll(laterChanges)
    }

    private fun instancesAt(timeMillis: Long): List<Instance> = synchronized(changes) {
        entriesAt(timeMillis).values.filter { it.expiresAtMillis > timeMillis }.map { it.instance }
    }

    private fun entriesAt(timeMillis: Long): Map<String, ListEntry> {
        val entries = LinkedHashMap<String, ListEntry>()
        for (change in changes) {
            if (change.timeMillis > timeMillis) break
            if (change.entry == null) entries.remove(change.id) else entries[change.id] = change.entry
        }
        return entries
    }

    private companion object {
        const val COMPACTION_THRESHOLD = 2000
    }
}

/** A listed instance and its expiry time in milliseconds of the wall clock. */
private data class ListEntry(val instance: Instance, val expiresAtMillis: Long)

/** The entry of the instance [id] from [timeMillis] of the wall clock on; a null [entry] removes it. */
private data class ListChange(val timeMillis: Long, val id: String, val entry: ListEntry?)
