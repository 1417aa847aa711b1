package org.sequoiahill.daemon.process.fleet;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sequoiahill.daemon.process.settings.HostPort;

/**
 * Time for which a daemon has been in contact with a majority of the stores without a break.
 *
 * <p>Any two majorities share a store. So two daemons that are both in contact have called one
 * store, which has told each of them of the other. Not safe for several threads.
 */
public final class StoreContact {
    /** Longest time without answers of a majority that does not break the contact. */
    public static final Duration MAX_GAP = Duration.ofSeconds(5);

    private final Map<HostPort, Duration> mAnsweredAt = new HashMap<>();
    private Optional<Duration> mSince = Optional.empty();
    private Duration mLast = Duration.ZERO;

    /**
     * Notes the answer of a store that follows a leader.
     *
     * @param stores all stores, as such a store has named them last
     */
    void answered(HostPort store, Set<HostPort> stores, Duration now) {
        mAnsweredAt.put(store, now);
        mAnsweredAt.keySet().retainAll(stores);
        int majority = stores.size() / 2 + 1;
        List<Duration> latest =
                mAnsweredAt.values().stream().sorted(Comparator.reverseOrder()).toList();
        if (stores.isEmpty() || latest.size() < majority) {
            return;
        }
        Duration reached = latest.get(majority - 1);
        if (mSince.isEmpty() || reached.minus(mLast).compareTo(MAX_GAP) > 0) {
            mSince = Optional.of(now);
        }
        mLast = reached;
    }

    /** Returns since when the contact has not been broken; empty while there is none. */
    Optional<Duration> since(Duration now) {
        return mSince.filter(since -> now.minus(mLast).compareTo(MAX_GAP) <= 0);
    }
}
