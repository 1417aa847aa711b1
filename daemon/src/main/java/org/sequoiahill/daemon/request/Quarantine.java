package org.sequoiahill.daemon.request;

import java.util.Optional;

/** Keeps requests that crash endpoints away from them. */
public interface Quarantine {
    /** Returns the refusal of a request that may not run, before it is admitted. */
    Optional<Refusal> check(RoutedRequest request);

    /** Returns whether a request must run beside no other at its endpoint. */
    boolean mustRunAlone(RoutedRequest request);

    /** Notes what became of an attempt. */
    void attemptEnded(RoutedRequest request, Attempt attempt, Outcome outcome);

    /** Notes that an answer broke off after its headers had come. */
    void responseBroken(RoutedRequest request, Attempt attempt, Throwable cause);

    /** Returns a quarantine that lets everything pass. */
    static Quarantine none() {
        return new Quarantine() {
            @Override
            public Optional<Refusal> check(RoutedRequest request) {
                return Optional.empty();
            }

            @Override
            public boolean mustRunAlone(RoutedRequest request) {
                return false;
            }

            @Override
            public void attemptEnded(RoutedRequest request, Attempt attempt, Outcome outcome) {
                // Nothing is kept.
            }

            @Override
            public void responseBroken(RoutedRequest request, Attempt attempt, Throwable cause) {
                // Nothing is kept.
            }
        };
    }
}
