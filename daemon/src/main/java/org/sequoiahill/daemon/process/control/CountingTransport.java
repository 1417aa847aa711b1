package org.sequoiahill.daemon.process.control;

import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TLayeredTransport;

/** Counts the bytes that pass through a transport. Not thread-safe. */
final class CountingTransport extends TLayeredTransport {
    private long mBytesRead;
    private long mBytesWritten;

    CountingTransport(TTransport inner) throws TTransportException {
        super(inner);
    }

    /** Returns the bytes read since the last call. */
    long drainBytesRead() {
        long read = mBytesRead;
        mBytesRead = 0;
        return read;
    }

    /** Returns the bytes written since the last call. */
    long drainBytesWritten() {
        long written = mBytesWritten;
        mBytesWritten = 0;
        return written;
    }

    @Override
    public boolean isOpen() {
        return getInnerTransport().isOpen();
    }

    @Override
    public void open() throws TTransportException {
        getInnerTransport().open();
    }

    @Override
    public void close() {
        getInnerTransport().close();
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws TTransportException {
        int read = getInnerTransport().read(buffer, offset, length);
        mBytesRead += Math.max(0, read);
        return read;
    }

    @Override
    public void write(byte[] buffer, int offset, int length) throws TTransportException {
        getInnerTransport().write(buffer, offset, length);
        mBytesWritten += length;
    }

    @Override
    public void flush() throws TTransportException {
        getInnerTransport().flush();
    }
}
