package org.sequoiahill.examples;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Faults that a test injects into the next completions whose prompt contains a marker. */
final class EngineFaults {
    private final List<Injection> mInjections = new ArrayList<>();

    /** Kind of fault of a completion. */
    enum Kind {
        NONE,
        /** The response has the id and the text of another request. */
        CROSSED,
        /** The engine never responds. */
        SILENT,
        /** The response starts after three seconds. */
        LATE,
        /** The engine's process exits. */
        CRASH,
        /** The stream is cut after three tokens. */
        CUT
    }

    private record Injection(Kind kind, String marker, int remaining) {}

    /** Adds a fault: its kind, the marker, and the number of completions that it affects. */
    synchronized void add(JsonNode injection) {
        mInjections.add(
                new Injection(
                        Kind.valueOf(injection.path("kind").asText().toUpperCase(Locale.ROOT)),
                        injection.path("marker").asText(),
                        injection.path("count").asInt(1)));
    }

    /**
     * Uses up and returns the fault for the next completion with this prompt; NONE if there is
     * none.
     */
    synchronized Kind next(String prompt) {
        for (int i = 0; i < mInjections.size(); i++) {
            Injection injection = mInjections.get(i);
            if (injection.remaining() > 0 && prompt.contains(injection.marker())) {
                mInjections.set(
                        i,
                        new Injection(
                                injection.kind(), injection.marker(), injection.remaining() - 1));
                return injection.kind();
            }
        }
        return Kind.NONE;
    }
}
