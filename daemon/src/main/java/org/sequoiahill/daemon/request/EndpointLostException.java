package org.sequoiahill.daemon.request;

import java.io.IOException;

/**
 * Signals that an agent, or an entry of another data centre, has reported that the outcome of a
 * request is unknown.
 */
public final class EndpointLostException extends IOException {
    private static final long serialVersionUID = 1L;

    private final String mCode;

    EndpointLostException(String code) {
        super("the agent or entry reported " + code);
        mCode = code;
    }

    /** Returns whether the report says that the endpoint died. */
    public boolean hasDied() {
        return mCode.equals(Refusal.ENDPOINT_DIED);
    }
}
