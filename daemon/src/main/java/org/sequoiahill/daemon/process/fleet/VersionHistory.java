package org.sequoiahill.daemon.process.fleet;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Publication times of the versions of one model, as known to one daemon, in its monotonic time;
 * immutable.
 *
 * <p>Each version has its own rollout deadline, counted from its publication, and a version may be
 * published before the previous one is in place. The age of the newest version alone therefore does
 * not determine which version is due.
 */
public final class VersionHistory {
    /** History of a model without a published version. */
    public static final VersionHistory NONE = new VersionHistory(new TreeMap<>());

    private static final int MAX_VERSIONS = 8;

    private final NavigableMap<Long, Duration> mPublishedAt;

    private VersionHistory(NavigableMap<Long, Duration> publishedAt) {
        mPublishedAt = publishedAt;
    }

    /**
     * Returns this history with a version added; keeps the earliest time of each version and only
     * the newest {@link #MAX_VERSIONS}.
     */
    public VersionHistory with(long version, Duration publishedAt) {
        NavigableMap<Long, Duration> changed = new TreeMap<>(mPublishedAt);
        changed.merge(
                version, publishedAt, (known, added) -> Collections.min(List.of(known, added)));
        while (changed.size() > MAX_VERSIONS) {
            changed.pollFirstEntry();
        }
        return new VersionHistory(changed);
    }

    /** Returns the newest version. */
    OptionalLong newest() {
        return mPublishedAt.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(mPublishedAt.lastKey());
    }

    /** Returns when a version was published. */
    Optional<Duration> publishedAt(long version) {
        return Optional.ofNullable(mPublishedAt.get(version));
    }

    /** Returns the versions that were published at or after a time. */
    Map<Long, Duration> publishedSince(Duration time) {
        Map<Long, Duration> recent = new TreeMap<>(mPublishedAt);
        recent.values().removeIf(publishedAt -> publishedAt.compareTo(time) < 0);
        return recent;
    }

    /** Returns the newest version that was published at or before a time. */
    public OptionalLong newestAt(Duration time) {
        OptionalLong newest = OptionalLong.empty();
        for (Map.Entry<Long, Duration> entry : mPublishedAt.entrySet()) {
            if (entry.getValue().compareTo(time) <= 0) {
                newest = OptionalLong.of(entry.getKey());
            }
        }
        return newest;
    }

    /** Returns when the first version above another one was published. */
    public Optional<Duration> publishedAfter(long version) {
        return Optional.ofNullable(mPublishedAt.higherEntry(version)).map(Map.Entry::getValue);
    }
}
