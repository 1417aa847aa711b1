package org.sequoiahill.daemon.request;

import java.io.IOException;

/** Tells what an agent has said of an endpoint whose answer was lost. */
public final class EndpointLostException extends IOException {
    private static final long serialVersionUID = 1L;

    private final String mCode;

    EndpointLostException(String code) {
        super("the agent told " + code);
        mCode = code;
    }

    /** Returns whether the endpoint has died. */
    public boolean hasDied() {
        return mCode.equals(Refusal.ENDPOINT_DIED);
    }
}
