package org.sequoiahill.daemon.process;

import java.util.List;
import org.eclipse.jetty.server.Handler;
import org.sequoiahill.daemon.process.control.ControlServer;

/** One role of a daemon: the services that it offers, and its start and end. */
interface DaemonRole {
    /** Adds the control services of the role. */
    void register(ControlServer server);

    /** Returns the handlers of the data address. */
    List<Handler> dataHandlers();

    /** Starts the role's own work. */
    void start();

    /** Returns whether the role can do its work. */
    boolean isReady();

    /** Tells others that no new work is wanted. */
    void leave();
}
