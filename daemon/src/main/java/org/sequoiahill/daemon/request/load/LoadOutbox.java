package org.sequoiahill.daemon.request.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sequoiahill.protocol.gen.EngineLoad;

/**
 * The last load received of each engine, and which of these loads each receiver has been sent.
 *
 * <p>A load replaces the previous one even if that has not been relayed yet, so a slow receiver
 * gets fewer loads, but none that has been replaced. Not thread-safe.
 */
final class LoadOutbox {
    /** Age above which a load is of no use to any receiver. */
    private static final Duration MAX_AGE = Duration.ofSeconds(1);

    private final LinkedHashMap<String, PendingLoad> mNewest = new LinkedHashMap<>();
    private final Map<String, Long> mLastSentNumbers = new HashMap<>();
    private long mLastNumber;

    private record PendingLoad(
            EngineLoad load, Duration reportedAt, long number, boolean isFromAgent) {}

    /**
     * Adds a load, replacing the previous one of the same engine.
     *
     * @param isFromAgent whether an agent reported it, rather than a collector of another data
     *     centre
     */
    void put(EngineLoad load, boolean isFromAgent, Duration now) {
        mNewest.remove(load.getEndpoint());
        mNewest.put(
                load.getEndpoint(),
                new PendingLoad(
                        load, now.minusMillis(load.getAgeMillis()), ++mLastNumber, isFromAgent));
    }

    /**
     * Returns the loads that a receiver has not been sent, and marks them as sent to it.
     *
     * @param agentLoadsOnly whether to return only loads that agents reported
     */
    List<EngineLoad> takeUnsent(String receiver, boolean agentLoadsOnly, Duration now) {
        long lastSent = mLastSentNumbers.getOrDefault(receiver, 0L);
        mLastSentNumbers.put(receiver, mLastNumber);
        List<EngineLoad> loads = new ArrayList<>();
        for (PendingLoad pending : mNewest.values()) {
            if (pending.number() > lastSent && (pending.isFromAgent() || !agentLoadsOnly)) {
                long age = now.minus(pending.reportedAt()).toMillis();
                loads.add(pending.load().deepCopy().setAgeMillis((int) age));
            }
        }
        return loads;
    }

    /** Removes loads that are too old. */
    void evictExpired(Duration now) {
        Duration oldest = now.minus(MAX_AGE);
        mNewest.values().removeIf(pending -> pending.reportedAt().compareTo(oldest) < 0);
    }

    /** Removes all receivers except those given. */
    void retainReceivers(Set<String> receivers) {
        mLastSentNumbers.keySet().retainAll(receivers);
    }
}
