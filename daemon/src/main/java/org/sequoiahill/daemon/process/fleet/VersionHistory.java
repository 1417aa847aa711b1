package org.sequoiahill.daemon.process.fleet;

import java.time.Duration;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * When the versions of one model were named; never changes.
 *
 * <p>Each version has a bound of its own from its naming, and a version may be named before the
 * last one is in place, so the age of the newest alone does not tell which one is due.
 */
public final class VersionHistory {
    /** History of a model of which no version was named. */
    public static final VersionHistory NONE = new VersionHistory(new TreeMap<>());

    private static final int MAX_VERSIONS = 8;

    private final NavigableMap<Long, Duration> mNamedAt;

    private VersionHistory(NavigableMap<Long, Duration> namedAt) {
        mNamedAt = namedAt;
    }

    /** Returns this history with a newer version. */
    public VersionHistory with(long version, Duration namedAt) {
        NavigableMap<Long, Duration> changed = new TreeMap<>(mNamedAt);
        changed.put(version, namedAt);
        while (changed.size() > MAX_VERSIONS) {
            changed.pollFirstEntry();
        }
        return new VersionHistory(changed);
    }

    /** Returns the newest version that was named at a time or before. */
    public OptionalLong newestAt(Duration time) {
        OptionalLong newest = OptionalLong.empty();
        for (Map.Entry<Long, Duration> entry : mNamedAt.entrySet()) {
            if (entry.getValue().compareTo(time) <= 0) {
                newest = OptionalLong.of(entry.getKey());
            }
        }
        return newest;
    }

    /** Returns when the first version above another was named. */
    public Optional<Duration> namedAfter(long version) {
        return Optional.ofNullable(mNamedAt.higherEntry(version)).map(Map.Entry::getValue);
    }
}
