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
 * Counts the entries that share the retry slack, in case of doubt rather too many than too few.
 *
 * <p>An entry has a share only after it has been in contact with the stores for a minimum time. By
 * then, entries that it cannot know of have lost their shares, and the slack used by them and by
 * its own previous process has left the window. Departed entries are counted for a long time, so
 * that this entry's share does not grow while their retries still count. Thread-safe.
 */
public final class SlackShare {
    /** Time for which an entry is counted after it has left the snapshot. */
    private static final Duration DEPARTED_RETENTION = Duration.ofMinutes(10);

    /**
     * Maximum time after an entry calls the stores until every other entry that is still in contact
     * with them has learned of it.
     */
    private static final Duration MAX_PROPAGATION_DELAY = Duration.ofSeconds(2);

    private final String mVm;
    private final Duration mMinContact;
    private final Supplier<Optional<Duration>> mContactSince;
    private final MonotonicClock mClock;
    private final Map<String, Duration> mLeftAt = new HashMap<>();
    private Set<String> mPresentVms = Set.of();

    private SlackShare(
            String vm,
            Duration minContact,
            Supplier<Optional<Duration>> contactSince,
            MonotonicClock clock) {
        mVm = vm;
        mMinContact = minContact;
        mContactSince = contactSince;
        mClock = clock;
    }

    /**
     * Returns an instance that counts only this entry until {@link #update} is called.
     *
     * @param contactSince since when this process has been in contact with the stores, empty if it
     *     is not
     */
    public static SlackShare of(
            DirectSettings settings,
            Supplier<Optional<Duration>> contactSince,
            MonotonicClock clock) {
        Duration minContact =
                QuorumContact.MAX_GAP
                        .plus(MAX_PROPAGATION_DELAY)
                        .plus(SharedRetryBudget.slackWindow(settings));
        return new SlackShare(settings.vm(), minContact, contactSince, clock);
    }

    /** Applies a new snapshot of the fleet. */
    public synchronized void update(FleetSnapshot snapshot) {
        Set<String> presentVms = new HashSet<>();
        for (Participant entry : snapshot.participants(ParticipantRole.ENTRY)) {
            presentVms.add(entry.getVm());
        }
        Duration now = mClock.now();
        for (String vm : mPresentVms) {
            if (!presentVms.contains(vm)) {
                mLeftAt.put(vm, now);
            }
        }
        mLeftAt.keySet().removeAll(presentVms);
        mPresentVms = presentVms;
    }

    /** Returns the number of entries that share the slack, 0 while this one has no share. */
    synchronized int entryCount() {
        Duration now = mClock.now();
        Optional<Duration> contactSince = mContactSince.get();
        if (contactSince.isEmpty() || now.minus(contactSince.get()).compareTo(mMinContact) < 0) {
            return 0;
        }
        Duration oldest = now.minus(DEPARTED_RETENTION);
        mLeftAt.values().removeIf(leftAt -> leftAt.compareTo(oldest) < 0);
        boolean isSelfCounted = mPresentVms.contains(mVm) || mLeftAt.containsKey(mVm);
        return mPresentVms.size() + mLeftAt.size() + (isSelfCounted ? 0 : 1);
    }
}
