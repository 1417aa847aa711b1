package org.sequoiahill.daemon.request.stream;

import java.io.IOException;

/** Tells that an endpoint broke an answer off, as opposed to a caller who went away. */
public final class EndpointBrokeException extends IOException {
    private static final long serialVersionUID = 1L;

    EndpointBrokeException(Throwable cause) {
        super("the endpoint broke the answer off", cause);
    }
}
