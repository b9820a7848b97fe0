package org.cactuspulley.runtime.platform

/** A network address. [host] is a name, an IPv4 address, or an IPv6 address without brackets. */
public data class HostAndPort(val host: String, val port: Int) {
    override fun toString(): String = if (':' in host) "[$host]:$port" else "$host:$port"

    public companion object {
        /** Parses `host:port`, or `[host]:port` for an IPv6 address; returns null if [text] has neither form. */
        public fun parse(text: String): HostAndPort? {
            val host = text.substringBeforeLast(':', "").removeSurrounding("[", "]")
            val port = text.substringAfterLast(':').toIntOrNull()
            return if (host.isEmpty() || port == null) null else HostAndPort(host, port)
        }
    }
}
