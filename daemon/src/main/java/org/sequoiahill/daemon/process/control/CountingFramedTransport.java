package org.sequoiahill.daemon.process.control;

import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.TTransportFactory;
import org.apache.thrift.transport.layered.TFramedTransport;

/** Framed transport with a frame size limit, whose bytes are counted. */
final class CountingFramedTransport extends TFramedTransport {
    private final CountingTransport mCounting;

    private CountingFramedTransport(CountingTransport counting) throws TTransportException {
        super(counting, ControlClient.MAX_FRAME_BYTES);
        mCounting = counting;
    }

    static CountingFramedTransport over(TTransport inner) throws TTransportException {
        return new CountingFramedTransport(new CountingTransport(inner));
    }

    static TTransportFactory factory() {
        return new TTransportFactory() {
            @Override
            public TTransport getTransport(TTransport inner) throws TTransportException {
                return over(inner);
            }
        };
    }

    long drainBytesRead() {
        return mCounting.drainBytesRead();
    }

    long drainBytesWritten() {
        return mCounting.drainBytesWritten();
    }
}
