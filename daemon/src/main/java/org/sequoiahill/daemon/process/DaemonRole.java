package org.sequoiahill.daemon.process;

import java.util.List;
import org.eclipse.jetty.server.Handler;
import org.sequoiahill.daemon.process.control.ControlServer;

/** One role of a daemon: the services that it offers, its start and its shutdown. */
interface DaemonRole {
    /** Registers the control services of the role. */
    void register(ControlServer server);

    /** Returns the role's handlers for the data address. */
    List<Handler> dataHandlers();

    /** Starts the role's background work. */
    void start();

    /** Returns whether the role is ready to serve. */
    boolean isReady();

    /** Prepares to stop, so that others send no new work to this role. */
    void leave();
}
