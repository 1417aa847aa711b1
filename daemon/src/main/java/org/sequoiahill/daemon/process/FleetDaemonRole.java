package org.sequoiahill.daemon.process;

import java.util.List;
import org.eclipse.jetty.server.Handler;
import org.sequoiahill.daemon.process.control.ControlServer;
import org.sequoiahill.protocol.gen.Participant;

/** The role of a daemon that discovers the others through seeds. */
interface FleetDaemonRole {
    /** Returns the addresses at which the role accepts requests. */
    List<HttpServers.Listener> listeners();

    /** Returns the handler of the requests at these addresses. */
    Handler handler();

    /** Registers the role's services for other daemons. */
    void register(ControlServer server);

    /** Returns the daemon's current description of itself. */
    Participant participant();

    /** Starts the role's work; called once all servers listen. */
    void start();

    /**
     * Prepares to stop, so that others send no new work to this role. Work that still arrives is
     * accepted until {@link #finishLeaving}.
     */
    void leave();

    /**
     * Completes the shutdown that {@link #leave} began: stops accepting work and waits for running
     * work or the transfer of leadership, up to the role's time limit.
     */
    void finishLeaving() throws InterruptedException;
}
