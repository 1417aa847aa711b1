package org.sequoiahill.daemon.request.stream;

import java.io.IOException;

/** Signals that an endpoint's response failed, as opposed to a caller that disconnected. */
public final class EndpointBrokeException extends IOException {
    private static final long serialVersionUID = 1L;

    EndpointBrokeException(Throwable cause) {
        super("the endpoint's response failed before its end", cause);
    }
}
