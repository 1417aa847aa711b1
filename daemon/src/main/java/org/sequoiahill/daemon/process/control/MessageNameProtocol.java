package org.sequoiahill.daemon.process.control;

import org.apache.thrift.TException;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TProtocolDecorator;

/** Protocol decorator that records the name of the last message. */
final class MessageNameProtocol extends TProtocolDecorator {
    private String mMessage = "none";

    MessageNameProtocol(TProtocol protocol) {
        super(protocol);
    }

    /**
     * Returns the name of the last call that was written or read, as {@code service:method}; {@code
     * none} before the first.
     */
    String message() {
        return mMessage;
    }

    @Override
    public void writeMessageBegin(TMessage message) throws TException {
        mMessage = message.name;
        super.writeMessageBegin(message);
    }

    @Override
    public TMessage readMessageBegin() throws TException {
        TMessage message = super.readMessageBegin();
        // A reply names only the method; the name of its call is kept.
        if (message.name.indexOf(':') >= 0) {
            mMessage = message.name;
        }
        return message;
    }
}
