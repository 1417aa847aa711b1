package org.sequoiahill.daemon.process.control;

import org.apache.thrift.TException;
import org.apache.thrift.TProcessor;
import org.apache.thrift.protocol.TProtocol;

/** Passes calls on and counts their bytes by message. */
final class CountingProcessor implements TProcessor {
    private final TProcessor mProcessor;
    private final ControlTraffic mTraffic;

    CountingProcessor(TProcessor processor, ControlTraffic traffic) {
        mProcessor = processor;
        mTraffic = traffic;
    }

    @Override
    public void process(TProtocol in, TProtocol out) throws TException {
        MessageNameProtocol named = new MessageNameProtocol(in);
        try {
            mProcessor.process(named, out);
        } finally {
            if (in.getTransport() instanceof CountingFramedTransport input) {
                mTraffic.received(named.message(), input.drainBytesRead());
            }
            if (out.getTransport() instanceof CountingFramedTransport output) {
                mTraffic.sent(named.message(), output.drainBytesWritten());
            }
        }
    }
}
