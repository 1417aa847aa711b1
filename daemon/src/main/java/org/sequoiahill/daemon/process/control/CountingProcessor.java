package org.sequoiahill.daemon.process.control;

import org.apache.thrift.TException;
import org.apache.thrift.TProcessor;
import org.apache.thrift.protocol.TProtocol;

/** Delegates calls to another processor and counts their bytes by message. */
final class CountingProcessor implements TProcessor {
    private final TProcessor mDelegate;
    private final ControlTraffic mTraffic;

    CountingProcessor(TProcessor processor, ControlTraffic traffic) {
        mDelegate = processor;
        mTraffic = traffic;
    }

    @Override
    public void process(TProtocol in, TProtocol out) throws TException {
        MessageNameProtocol recordingIn = new MessageNameProtocol(in);
        try {
            mDelegate.process(recordingIn, out);
        } finally {
            if (in.getTransport() instanceof CountingFramedTransport input) {
                mTraffic.received(recordingIn.message(), input.drainBytesRead());
            }
            if (out.getTransport() instanceof CountingFramedTransport output) {
                mTraffic.sent(recordingIn.message(), output.drainBytesWritten());
            }
        }
    }
}
