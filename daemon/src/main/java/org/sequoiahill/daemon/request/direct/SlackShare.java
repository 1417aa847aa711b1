package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.sequoiahill.daemon.process.fleet.FleetSnapshot;
import org.sequoiahill.daemon.process.fleet.QuorumContact;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.ParticipantRole;

/**
 * Number of entries among which the slack of repeats is divided, as this entry may count them.
 *
 * <p>An entry has a part only after it has been in contact with the stores for as long as it takes
 * until others that it can't know of have none, and until what they and its own former process
 * spent has left the window. It counts entries for long after they have gone, so that its part does
 * not grow while their repeats still count. Safe for several threads.
 */
public final class SlackShare {
    /** Time for which an entry that is no longer heard of is counted. */
    private static final Duration DEPARTED_RETENTION = Duration.ofMinutes(10);

    /** Longest time from an entry's call until all others have heard of it, or miss it. */
    private static final Duration MAX_PROPAGATION_DELAY = Duration.ofSeconds(2);

    private final String mVm;
    private final Duration mMinContact;
    private final Supplier<Optional<Duration>> mContactSince;
    private final MonotonicClock mClock;
    private final Map<String, Duration> mLeftAt = new HashMap<>();
    private Set<String> mPresentVms = Set.of();

    private SlackShare(
            String vm,
            Duration leastContact,
            Supplier<Optional<Duration>> contactSince,
            MonotonicClock clock) {
        mVm = vm;
        mMinContact = leastContact;
        mContactSince = contactSince;
        mClock = clock;
    }

    /**
     * Returns a share that knows this entry only.
     *
     * @param contactSince since when this process has been in contact with the stores
     */
    public static SlackShare of(
            DirectSettings settings,
            Supplier<Optional<Duration>> contactSince,
            MonotonicClock clock) {
        Duration leastContact =
                QuorumContact.MAX_GAP
                        .plus(MAX_PROPAGATION_DELAY)
                        .plus(SharedRetryBudget.slackWindow(settings));
        return new SlackShare(settings.vm(), leastContact, contactSince, clock);
    }

    /** Takes a new picture of the fleet. */
    public synchronized void update(FleetSnapshot picture) {
        Set<String> present = new HashSet<>();
        for (Participant entry : picture.participants(ParticipantRole.ENTRY)) {
            present.add(entry.getVm());
        }
        Duration now = mClock.now();
        for (String vm : mPresentVms) {
            if (!present.contains(vm)) {
                mLeftAt.put(vm, now);
            }
        }
        mLeftAt.keySet().removeAll(present);
        mPresentVms = present;
    }

    /** Returns the number of entries, 0 while this one has no part. */
    synchronized int entryCount() {
        Duration now = mClock.now();
        Optional<Duration> since = mContactSince.get();
        if (since.isEmpty() || now.minus(since.get()).compareTo(mMinContact) < 0) {
            return 0;
        }
        Duration oldest = now.minus(DEPARTED_RETENTION);
        mLeftAt.values().removeIf(leftAt -> leftAt.compareTo(oldest) < 0);
        boolean isSelfKnown = mPresentVms.contains(mVm) || mLeftAt.containsKey(mVm);
        return mPresentVms.size() + mLeftAt.size() + (isSelfKnown ? 0 : 1);
    }
}
