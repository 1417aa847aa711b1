package org.sequoiahill.daemon.process;

import java.util.List;
import org.eclipse.jetty.server.Handler;
import org.sequoiahill.daemon.process.control.ControlServer;
import org.sequoiahill.protocol.gen.Participant;

/** The role of a daemon that discovers the others through seeds. */
interface FleetDaemonRole {
    /** Returns the addresses at which the role accepts requests. */
    List<HttpServers.Listener> listeners();

    /** Returns the handler of these requests. */
    Handler handler();

    /** Registers the role's services for other daemons. */
    void register(ControlServer server);

    /** Returns the daemon's current description of itself. */
    Participant participant();

    /** Starts the role's work; called once all servers listen. */
    void start();

    /** Stops accepting new work, because the daemon is about to stop. */
    void leave();

    /** Waits until running work has completed, up to the role's time limit. */
    void awaitIdle() throws InterruptedException;
}
