package org.sequoiahill.daemon.connection;

import java.io.EOFException;

/** Signals that an event stream ended before it was complete. */
public final class TruncatedStreamException extends EOFException {
    private static final long serialVersionUID = 1L;

    TruncatedStreamException(String message) {
        super(message);
    }
}
