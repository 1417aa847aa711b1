package org.sequoiahill.daemon.process.control;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Counts the bytes of control messages, by message and direction, frame headers included. */
public final class ControlTraffic {
    private static final String BYTES = "sequoia.control.bytes";

    private final MeterRegistry mRegistry;
    private final Map<String, Counter> mSent = new ConcurrentHashMap<>();
    private final Map<String, Counter> mReceived = new ConcurrentHashMap<>();

    private ControlTraffic(MeterRegistry registry) {
        mRegistry = registry;
    }

    /** Returns a counter of traffic that publishes to a registry. */
    public static ControlTraffic on(MeterRegistry registry) {
        return new ControlTraffic(registry);
    }

    /** Counts bytes that were sent for a message, named {@code service:method}. */
    void sent(String message, long bytes) {
        mSent.computeIfAbsent(message, name -> counter(name, "sent")).increment((double) bytes);
    }

    /** Counts bytes that were received for a message, named {@code service:method}. */
    void received(String message, long bytes) {
        mReceived
                .computeIfAbsent(message, name -> counter(name, "received"))
                .increment((double) bytes);
    }

    private Counter counter(String message, String direction) {
        return mRegistry.counter(BYTES, "message", message, "direction", direction);
    }
}
