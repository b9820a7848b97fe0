package org.cactuspulley.runtime.instance

import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.runtime.control.ControlLoop

/** Buffers events until the control loop exists, so that sockets can be bound before it is created. */
internal class EventRelay {
    private val buffered = ArrayList<CoreEvent>()
    private var loop: ControlLoop? = null

    /** Submits [event] to the control loop, or buffers it until [connect] is called. */
    @Synchronized
    fun submit(event: CoreEvent) {
        val connected = loop
        if (connected == null) buffered.add(event) else connected.submit(event)
    }

    /** Submits the buffered events to [loop], and from then on every new event. */
    @Synchronized
    fun connect(loop: ControlLoop) {
        this.loop = loop
        buffered.forEach(loop::submit)
        buffered.clear()
    }
}
