package org.sequoiahill.daemon.request.quarantine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Questions whether any entry knows of an answer to a request with a suspected trait, and the
 * replies to them. Not thread-safe.
 */
final class TraitQuestions {
    /** Age above which a question must be asked again. */
    private static final Duration LIFETIME = Duration.ofSeconds(1);

    /** When each trait was last asked about, by this entry or another one. */
    private final Map<String, Duration> mAskedAt = new HashMap<>();

    /** When another entry last reported an answer to a request with each trait. */
    private final Map<String, Duration> mRepliedAt = new HashMap<>();

    /** Records that an entry has asked about a trait. */
    void ask(String trait, Duration now) {
        mAskedAt.put(trait, now);
    }

    /** Returns the time since a trait was last asked about; empty if it must be asked again. */
    Optional<Duration> age(String trait, Duration now) {
        return Optional.ofNullable(mAskedAt.get(trait))
                .map(now::minus)
                .filter(age -> age.compareTo(LIFETIME) <= 0);
    }

    /** Records that another entry has reported an answer to a request with a trait. */
    void onReply(String trait, Duration now) {
        mRepliedAt.put(trait, now);
    }

    /** Returns whether another entry has replied to a question. */
    boolean isReplied(String trait, Duration askedAt) {
        Duration repliedAt = mRepliedAt.get(trait);
        return repliedAt != null && repliedAt.compareTo(askedAt) >= 0;
    }

    /** Forgets questions and replies that are too old to matter. */
    void evict(Duration now) {
        Duration oldest = now.minus(LIFETIME);
        mAskedAt.values().removeIf(at -> at.compareTo(oldest) < 0);
        mRepliedAt.values().removeIf(at -> at.compareTo(oldest) < 0);
    }
}
