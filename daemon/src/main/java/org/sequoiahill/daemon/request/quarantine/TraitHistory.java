package org.sequoiahill.daemon.request.quarantine;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * How often requests with each trait arrived at an entry, and when endpoints last began to answer
 * one. The traits seen least recently are forgotten. Thread-safe.
 */
final class TraitHistory {
    private static final int MAX_TRAITS = 8_192;

    private final Map<String, History> mHistories = new LinkedHashMap<>();

    private static final class History {
        private int mRequests;
        private @Nullable Duration mBegunAt;
    }

    /** Records a request. */
    synchronized void addRequest(List<String> traits) {
        traits.forEach(trait -> recent(trait).mRequests++);
    }

    /** Records when an endpoint began to answer a request. */
    synchronized void addAnswer(List<String> traits, Duration begunAt) {
        for (String trait : traits) {
            History history = recent(trait);
            if (history.mBegunAt == null || history.mBegunAt.compareTo(begunAt) < 0) {
                history.mBegunAt = begunAt;
            }
        }
    }

    /** Returns the number of requests with a trait. */
    synchronized int requests(String trait) {
        History history = mHistories.get(trait);
        return history == null ? 0 : history.mRequests;
    }

    /** Returns when the last answer to a request with a trait began. */
    synchronized Optional<Duration> begunAt(String trait) {
        return Optional.ofNullable(mHistories.get(trait)).map(history -> history.mBegunAt);
    }

    private History recent(String trait) {
        History history = mHistories.remove(trait);
        if (history == null) {
            history = new History();
        }
        mHistories.put(trait, history);
        if (mHistories.size() > MAX_TRAITS) {
            mHistories.remove(mHistories.keySet().iterator().next());
        }
        return history;
    }
}
