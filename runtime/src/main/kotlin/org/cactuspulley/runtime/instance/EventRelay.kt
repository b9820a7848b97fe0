package org.cactuspulley.runtime.instance

import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.runtime.control.ControlLoop

/** Takes events before the control loop exists, so that sockets can be bound first. */
internal class EventRelay {
    private val buffered = ArrayList<CoreEvent>()
    private var loop: ControlLoop? = null

    /** Hands [event] to the control loop, as soon as there is one. */
    @Synchronized
    fun submit(event: CoreEvent) {
        val connected = loop
        if (connected == null) buffered.add(event) else connected.submit(event)
    }

    /** Hands over what came so far and everything that follows. */
    @Synchronized
    fun connect(loop: ControlLoop) {
        this.loop = loop
        buffered.forEach(loop::submit)
        buffered.clear()
    }
}
