package org.sequoiahill.daemon.request.direct;

import org.eclipse.jetty.util.thread.SerializedInvoker;
import org.tinylog.Logger;

/**
 * Runs the steps of an exchange one after another. If one throws, which is a fault of the program,
 * the exchange is ended at once, so that its caller and its permit don't wait for the timeout.
 */
final class ExchangeInvoker {
    private final SerializedInvoker mInvoker = new SerializedInvoker();
    private final Runnable mEndExchange;

    private ExchangeInvoker(Runnable endExchange) {
        mEndExchange = endExchange;
    }

    /** Returns an invoker that runs {@code endExchange} after a step that throws. */
    static ExchangeInvoker of(Runnable endExchange) {
        return new ExchangeInvoker(endExchange);
    }

    void run(Runnable step) {
        mInvoker.run(
                () -> {
                    try {
                        step.run();
                    } catch (RuntimeException e) {
                        Logger.error(e, "a step of an exchange failed");
                        mEndExchange.run();
                    }
                });
    }
}
