package org.sequoiahill.daemon.request.direct;

import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.protocol.gen.EngineLoad;
import org.sequoiahill.protocol.gen.Loads;

/** Takes the loads that agents tell an entry. */
public final class LoadHandler implements Loads.Iface {
    private final Dispatcher mDispatcher;

    private LoadHandler(Dispatcher dispatcher) {
        mDispatcher = dispatcher;
    }

    /** Returns the handler of one entry. */
    public static LoadHandler of(Dispatcher dispatcher) {
        return new LoadHandler(dispatcher);
    }

    @Override
    public void told(EngineLoad load) {
        mDispatcher.told(HostPort.parse(load.getEndpoint()), load.getRunning(), load.getWaiting());
    }
}
