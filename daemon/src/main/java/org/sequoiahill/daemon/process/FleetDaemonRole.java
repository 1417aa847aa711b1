package org.sequoiahill.daemon.process;

import java.util.List;
import org.eclipse.jetty.server.Handler;
import org.sequoiahill.daemon.process.control.ControlServer;
import org.sequoiahill.protocol.gen.Participant;

/** What a role adds to a daemon that finds the others by seeds. */
interface FleetDaemonRole {
    /** Returns where the role is called from outside. */
    List<HttpServers.Listener> listeners();

    /** Returns the handler of these calls. */
    Handler handler();

    /** Offers the role's services to other daemons. */
    void register(ControlServer server);

    /** Returns what the daemon says of itself. */
    Participant participant();

    /** Starts to work, once all servers listen. */
    void start();

    /** Stops taking new work, since the daemon ends soon. */
    void leave();

    /** Waits until running work has ended, and no longer than its bound. */
    void awaitIdle() throws InterruptedException;
}
