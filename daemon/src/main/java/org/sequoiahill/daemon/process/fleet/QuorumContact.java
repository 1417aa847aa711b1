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
 * Tracks since when a daemon has been in uninterrupted contact with a majority of the stores.
 *
 * <p>Any two majorities have a store in common, so two daemons that are both in contact have called
 * the same store, which has reported each of them to the other. Not thread-safe.
 */
public final class QuorumContact {
    /** Longest time without replies from a majority that does not interrupt the contact. */
    public static final Duration MAX_GAP = Duration.ofSeconds(5);

    private final Map<HostPort, Duration> mLastReplyTimes = new HashMap<>();
    private Optional<Duration> mSince = Optional.empty();
    private Duration mLastMajorityAt = Duration.ZERO;

    /**
     * Records a reply of a store that follows a leader.
     *
     * @param stores all stores, as last named by such a store
     */
    void recordReply(HostPort store, Set<HostPort> stores, Duration now) {
        mLastReplyTimes.put(store, now);
        mLastReplyTimes.keySet().retainAll(stores);
        int majority = stores.size() / 2 + 1;
        List<Duration> latest =
                mLastReplyTimes.values().stream().sorted(Comparator.reverseOrder()).toList();
        if (stores.isEmpty() || latest.size() < majority) {
            return;
        }
        Duration majorityAt = latest.get(majority - 1);
        if (mSince.isEmpty() || majorityAt.minus(mLastMajorityAt).compareTo(MAX_GAP) > 0) {
            mSince = Optional.of(now);
        }
        mLastMajorityAt = majorityAt;
    }

    /** Returns since when the contact has been uninterrupted; empty while there is none. */
    Optional<Duration> since(Duration now) {
        return mSince.filter(since -> now.minus(mLastMajorityAt).compareTo(MAX_GAP) <= 0);
    }
}
