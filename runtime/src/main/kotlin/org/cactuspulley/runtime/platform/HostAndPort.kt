package org.cactuspulley.runtime.platform

/** A network address. [host] is a name, an IPv4 address, or an IPv6 address without brackets. */
public data class HostAndPort(val host: String, val port: Int) {
    override fun toString(): String = if (':' in host) "[$host]:$port" else "$host:$port"

    public companion object {
        private const val MAX_PORT = 65_535
        private val FORM = Regex("""(?:\[([^\s\p{Cntrl}\[\]]*:[^\s\p{Cntrl}\[\]]*)]|([^\s\p{Cntrl}:\[\]]+)):([0-9]{1,5})""")

        /**
         * Parses `host:port`, or `[host]:port` for an IPv6 address; returns null if [text] has neither form or the port is not between
         * 1 and 65535.
         */
        public fun parse(text: String): HostAndPort? {
            val (bracketedHost, plainHost, digits) = FORM.matchEntire(text)?.destructured ?: return null
            val port = digits.toInt()
            return if (port in 1..MAX_PORT) HostAndPort(bracketedHost.ifEmpty { plainHost }, port) else null
        }
    }
}
