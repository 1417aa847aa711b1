package org.sequoiahill.daemon.request;

import java.io.IOException;

/** Signals that an agent has reported its endpoint as lost before the response was complete. */
public final class EndpointLostException extends IOException {
    private static final long serialVersionUID = 1L;

    private final String mCode;

    EndpointLostException(String code) {
        super("the agent reported " + code);
        mCode = code;
    }

    /** Returns whether the agent reported that the endpoint died. */
    public boolean hasDied() {
        return mCode.equals(Refusal.ENDPOINT_DIED);
    }
}
