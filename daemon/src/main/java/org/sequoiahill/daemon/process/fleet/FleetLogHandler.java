package org.sequoiahill.daemon.process.fleet;

import org.apache.thrift.TException;
import org.sequoiahill.protocol.gen.Log;
import org.sequoiahill.protocol.gen.LogDelivery;
import org.sequoiahill.protocol.gen.MembersReply;
import org.sequoiahill.protocol.gen.MembersRequest;
import org.sequoiahill.protocol.gen.Sender;

/** Passes calls of the other stores to the log that is currently open. */
public final class FleetLogHandler implements Log.Iface {
    private final FleetLog mLog;

    private FleetLogHandler(FleetLog log) {
        mLog = log;
    }

    /** Returns a handler for a log that may be reopened. */
    public static FleetLogHandler of(FleetLog log) {
        return new FleetLogHandler(log);
    }

    @Override
    public Sender deliver(LogDelivery delivery) throws TException {
        return mLog.group().service().deliver(delivery);
    }

    @Override
    public MembersReply members(MembersRequest request) throws TException {
        return mLog.group().service().members(request);
    }
}
