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
 * The newest load of each engine, and which of them each receiver has not been sent.
 *
 * <p>Loads that come faster than they are passed on replace one another, so a slow receiver gets
 * fewer and never older ones. Not safe for several threads.
 */
final class LoadOutbox {
    /** Age at which a load is of no use to any receiver. */
    private static final Duration MAX_AGE = Duration.ofSeconds(1);

    private final LinkedHashMap<String, PendingLoad> mNewest = new LinkedHashMap<>();
    private final Map<String, Long> mLastSentNumbers = new HashMap<>();
    private long mLastNumber;

    private record PendingLoad(
            EngineLoad load, Duration reportedAt, long number, boolean isFromAgent) {}

    /**
     * Takes a load.
     *
     * @param isNear whether it came from an agent, and not from another data centre's collector
     */
    void put(EngineLoad load, boolean isNear, Duration now) {
        mNewest.remove(load.getEndpoint());
        mNewest.put(
                load.getEndpoint(),
                new PendingLoad(load, now.minusMillis(load.getAgeMillis()), ++mLastNumber, isNear));
    }

    /**
     * Takes out what a receiver has not been sent.
     *
     * @param isNearOnly whether the receiver gets only what came from agents
     */
    List<EngineLoad> takeUnsent(String receiver, boolean isNearOnly, Duration now) {
        long sent = mLastSentNumbers.getOrDefault(receiver, 0L);
        mLastSentNumbers.put(receiver, mLastNumber);
        List<EngineLoad> loads = new ArrayList<>();
        for (PendingLoad held : mNewest.values()) {
            if (held.number() > sent && (held.isFromAgent() || !isNearOnly)) {
                long age = now.minus(held.reportedAt()).toMillis();
                loads.add(held.load().deepCopy().setAgeMillis((int) age));
            }
        }
        return loads;
    }

    /** Drops loads that are too old. */
    void evictExpired(Duration now) {
        Duration oldest = now.minus(MAX_AGE);
        mNewest.values().removeIf(held -> held.reportedAt().compareTo(oldest) < 0);
    }

    /** Forgets receivers that are not kept. */
    void retainReceivers(Set<String> receivers) {
        mLastSentNumbers.keySet().retainAll(receivers);
    }
}
