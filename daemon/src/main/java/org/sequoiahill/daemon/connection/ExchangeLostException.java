package org.sequoiahill.daemon.connection;

import java.io.IOException;
import org.sequoiahill.daemon.connection.LivenessTracker.Verdict;

/**
 * Signals that an exchange was aborted, as its connection or peer is dead or its request never
 * arrived.
 */
public final class ExchangeLostException extends IOException {
    private static final long serialVersionUID = 1L;

    private final Verdict mVerdict;

    ExchangeLostException(Verdict verdict) {
        super("the connection or the peer is dead: " + verdict);
        mVerdict = verdict;
    }

    /** Returns whether the request has certainly not run and never will. */
    public boolean isNotRun() {
        return mVerdict == Verdict.NEVER_ARRIVED;
    }
}
