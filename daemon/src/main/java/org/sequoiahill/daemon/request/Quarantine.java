package org.sequoiahill.daemon.request;

import java.util.Optional;

/** Detects requests that crash endpoints, isolates them and finally refuses them. */
public interface Quarantine {
    /**
     * Returns the refusal of a quarantined request; empty for any other. Called before admission.
     */
    Optional<Refusal> check(RoutedRequest request);

    /** Returns whether a request must run alone at its endpoint. */
    boolean mustRunAlone(RoutedRequest request);

    /** Records the outcome of an attempt. */
    void attemptEnded(RoutedRequest request, Attempt attempt, Outcome outcome);

    /** Records that a response failed after its headers had arrived. */
    void responseBroken(RoutedRequest request, Attempt attempt, Throwable cause);

    /** Returns a quarantine that refuses nothing. */
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
