package org.sequoiahill.daemon.process.endpoints;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.EndpointReport;
import org.sequoiahill.protocol.gen.EndpointState;
import org.sequoiahill.protocol.gen.FeedItem;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.WatchReply;
import org.tinylog.Logger;

/**
 * Endpoints and daemons that have reported to one store, published as a feed of changes.
 *
 * <p>The state is soft: an endpoint or daemon that sends no report for the duration of its lease is
 * dropped, and after a restart the registry is complete again within one heartbeat. Reports of one
 * start of an endpoint are ordered by sequence number, and an endpoint that has reported that it is
 * leaving never becomes ready again within the same start. A deregistration names the start that it
 * ends; a later start of the endpoint is not affected. Reports without a start can't be told from
 * those of a later one: leaving then lasts for one lease.
 *
 * <p>A report that is not newer than the one held changes nothing and does not renew the lease. So
 * a wrong report with a start or sequence number far ahead is in force for one lease at most.
 */
public final class EndpointRegistry {
    private static final int MAX_TOMBSTONES = 4_096;

    /** Batching delay for changes, per daemon that reads them; limits the rate of replies. */
    private static final Duration BATCH_DELAY_PER_READER = Duration.ofNanos(500_000);

    private static final Duration MAX_BATCH_DELAY = Duration.ofMillis(150);

    /** Shift of the end of a cold phase, in milliseconds, above which readers are notified. */
    private static final long COLD_TOLERANCE_MILLIS = 500;

    private final MonotonicClock mClock;
    private final InstantSource mWallClock;
    private final Duration mEndpointLease;
    private final Duration mParticipantLease;
    private final long mFeedId;
    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mChanged = mLock.newCondition();

    /** Never signalled; readers wait on it while they batch changes. */
    private final Condition mBatchTimer = mLock.newCondition();

    private final ChangeFeed mFeed = ChangeFeed.withTombstones(MAX_TOMBSTONES);
    private final Map<String, Received<EndpointReport>> mEndpoints = new HashMap<>();

    /** Deregistrations that end later starts than this store knows; the last one of each id. */
    private final Map<String, Received<EndpointReport>> mGone = new HashMap<>();

    private final LeavingStarts mLeaving = new LeavingStarts();
    private final Map<String, Received<Participant>> mParticipants = new HashMap<>();

    private EndpointRegistry(
            MonotonicClock clock,
            InstantSource wallClock,
            Duration endpointLease,
            Duration participantLease,
            long feedId) {
        mClock = clock;
        mWallClock = wallClock;
        mEndpointLease = endpointLease;
        mParticipantLease = participantLease;
        mFeedId = feedId;
    }

    /**
     * Returns an empty registry.
     *
     * @param wallClock clock that the starts of endpoints are compared with if they name none
     * @param endpointLease time without a report after which an endpoint is dropped
     * @param participantLease time without a report after which a daemon is dropped
     * @param feedId id that distinguishes this registry's feed from those before a restart
     */
    public static EndpointRegistry of(
            MonotonicClock clock,
            InstantSource wallClock,
            Duration endpointLease,
            Duration participantLease,
            long feedId) {
        return new EndpointRegistry(clock, wallClock, endpointLease, participantLease, feedId);
    }

    private record Received<T>(T value, Duration at) {}

    /**
     * Accepts a report of an endpoint.
     *
     * @return whether the report must be relayed to the other stores before it is acknowledged,
     *     because the endpoint has started to leave
     */
    public boolean report(EndpointReport report) {
        mLock.lock();
        try {
            return report.getState() == EndpointState.GONE
                    ? recordGone(report)
                    : recordReport(report);
        } finally {
            mLock.unlock();
        }
    }

    private boolean recordReport(EndpointReport report) {
        Received<EndpointReport> gone = mGone.get(report.getId());
        if (gone != null && report.getStartedAt() < gone.value().getStartedAt()) {
            Logger.info(
                    "ignored a report of endpoint {}: its start {} is before {}, up to which it has"
                            + " gone",
                    report.getId(),
                    report.getStartedAt(),
                    gone.value().getStartedAt());
            return false;
        }
        Received<EndpointReport> before = mEndpoints.get(report.getId());
        if (before != null && isOutdated(report, before.value())) {
            return false;
        }
        EndpointReport merged = before == null ? report : merge(before.value(), report);
        mLeaving.record(merged.getId(), merged.getStartedAt(), merged.getState());
        EndpointState state =
                mLeaving.latest(merged.getId(), merged.getStartedAt(), merged.getState());
        hold(before, state == merged.getState() ? merged : merged.deepCopy().setState(state));
        boolean wasLeaving = before != null && isLeaving(before.value());
        return isLeaving(report) && !wasLeaving;
    }

    private boolean recordGone(EndpointReport report) {
        String id = report.getId();
        // Stores of older releases may name no start.
        long lastStart = lastStart(id, report.getStartedAt());
        mLeaving.record(id, report.getStartedAt(), EndpointState.GONE);
        Received<EndpointReport> known = mEndpoints.get(id);
        if (known != null && known.value().getStartedAt() <= lastStart) {
            mLeaving.record(id, known.value().getStartedAt(), EndpointState.GONE);
            hold(known, known.value().deepCopy().setState(EndpointState.GONE));
        }
        boolean isNewer = known == null || known.value().getStartedAt() < lastStart;
        Received<EndpointReport> gone = mGone.get(id);
        if (isNewer && (gone == null || gone.value().getStartedAt() < lastStart)) {
            EndpointReport held = report.deepCopy().setStartedAt(lastStart);
            mGone.put(id, new Received<>(held, mClock.now()));
            publish(FeedKeys.gone(id), held);
        }
        return true;
    }

    private void hold(@Nullable Received<EndpointReport> before, EndpointReport report) {
        mEndpoints.put(report.getId(), new Received<>(report, mClock.now()));
        if (before == null || isChange(before, report)) {
            publish(FeedKeys.endpoint(report.getId()), report);
        }
    }

    /**
     * Returns a report that an endpoint has gone, which ends all of its starts up to the one that
     * the report names; without an address if this store does not know the endpoint.
     *
     * @param startedAt the start that has gone in Unix milliseconds; 0 if unknown, then all starts
     *     until now by this store's clock have gone
     */
    public EndpointReport goneReport(String id, long startedAt) {
        mLock.lock();
        try {
            Received<EndpointReport> known = mEndpoints.get(id);
            EndpointReport report =
                    known == null
                            ? new EndpointReport()
                                    .setId(id)
                                    .setServiceName("")
                                    .setAddress("")
                                    .setDataCentre("")
                                    .setSoftware("")
                                    .setVersions(Map.of())
                            : known.value().deepCopy();
            return report.setStartedAt(lastStart(id, startedAt)).setState(EndpointState.GONE);
        } finally {
            mLock.unlock();
        }
    }

    /** Returns the last start that a deregistration ends, from the start that it names or 0. */
    private long lastStart(String id, long named) {
        if (named > 0) {
            return named;
        }
        Received<EndpointReport> known = mEndpoints.get(id);
        long now = mWallClock.millis();
        return known == null ? now : Math.max(now, known.value().getStartedAt());
    }

    /** Records what a daemon reports about itself. */
    public void recordParticipant(Participant reported) {
        mLock.lock();
        try {
            Received<Participant> before = mParticipants.get(reported.getVm());
            Participant participant =
                    before == null ? reported : newerOfOneIncarnation(before.value(), reported);
            mParticipants.put(participant.getVm(), new Received<>(participant, mClock.now()));
            if (before == null || !before.value().equals(participant)) {
                mFeed.put(
                        new FeedItem()
                                .setKey(FeedKeys.participant(participant.getVm()))
                                .setParticipant(participant));
                mChanged.signalAll();
            }
        } finally {
            mLock.unlock();
        }
    }

    /** Returns the report, or what is known if the report is older and of the same incarnation. */
    private static Participant newerOfOneIncarnation(Participant known, Participant reported) {
        boolean isOlder =
                known.getIncarnation() == reported.getIncarnation()
                        && known.getRevision() > reported.getRevision();
        return isOlder ? known : reported;
    }

    /** Drops endpoints and daemons whose lease has expired. */
    public void expire() {
        mLock.lock();
        try {
            boolean isEndpointGone = expire(mEndpoints, mEndpointLease, FeedKeys::endpoint);
            isEndpointGone |= expire(mGone, mEndpointLease, FeedKeys::gone);
            boolean isDaemonGone = expire(mParticipants, mParticipantLease, FeedKeys::participant);
            if (isEndpointGone || isDaemonGone) {
                mChanged.signalAll();
            }
        } finally {
            mLock.unlock();
        }
    }

    /** Wakes all waiting readers, because something else that they wait for has changed. */
    public void wakeWaitingReaders() {
        mLock.lock();
        try {
            mChanged.signalAll();
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Waits for changes that a reader does not know and fills a reply with them. Once there are
     * some, the reply is delayed briefly to batch more: when many daemons start or load a version,
     * each change would otherwise cause one reply to every reader. There is no wait if the reader
     * has not read this feed yet, and none once something else that it waits for is available.
     *
     * @param feed id of the feed that the reader read last, 0 for none
     * @param change last change known to the reader
     * @param wait longest wait
     * @param hasOtherChanges whether something else that the reader waits for is available
     */
    public void await(
            WatchReply reply,
            long feed,
            long change,
            Duration wait,
            BooleanSupplier hasOtherChanges) {
        long known = feed == mFeedId ? change : 0;
        mLock.lock();
        try {
            long remaining = wait.toNanos();
            while (known > 0
                    && known == mFeed.lastChange()
                    && !hasOtherChanges.getAsBoolean()
                    && remaining > 0) {
                remaining = mChanged.awaitNanos(remaining);
            }
            if (known > 0 && known != mFeed.lastChange() && !hasOtherChanges.getAsBoolean()) {
                awaitBatchDelay(remaining);
            }
            ChangeFeed.Changes changes = mFeed.since(known);
            reply.setFeed(mFeedId);
            reply.setChange(changes.change());
            reply.setWhole(changes.isComplete());
            for (FeedItem item : changes.items()) {
                reply.addToItems(withRemainingColdTime(item));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            mLock.unlock();
        }
    }

    private void awaitBatchDelay(long maxNanos) throws InterruptedException {
        long batchDelay = BATCH_DELAY_PER_READER.multipliedBy(mParticipants.size()).toNanos();
        long remaining = Math.min(maxNanos, Math.min(batchDelay, MAX_BATCH_DELAY.toNanos()));
        while (remaining > 0) {
            remaining = mBatchTimer.awaitNanos(remaining);
        }
    }

    /** Returns the number of known daemons. */
    public int participantCount() {
        mLock.lock();
        try {
            return mParticipants.size();
        } finally {
            mLock.unlock();
        }
    }

    /** Returns whether a report is not newer than the one held. */
    private static boolean isOutdated(EndpointReport report, EndpointReport known) {
        boolean isStartUnknown = report.getStartedAt() == 0 && known.getStartedAt() == 0;
        if (isStartUnknown && isLeaving(known) && !isLeaving(report)) {
            // It may be a later start: the lease is not renewed, so that it counts after the lease.
            return true;
        }
        if (report.getStartedAt() != known.getStartedAt()) {
            return report.getStartedAt() < known.getStartedAt();
        }
        return report.getSequence() <= known.getSequence();
    }

    /** Returns what is known after a report that is newer than the one held. */
    private static EndpointReport merge(EndpointReport known, EndpointReport report) {
        boolean isSameStart = report.getStartedAt() == known.getStartedAt();
        if (isSameStart && known.getState().getValue() > report.getState().getValue()) {
            return report.deepCopy().setState(known.getState());
        }
        return report;
    }

    private boolean isChange(Received<EndpointReport> before, EndpointReport after) {
        EndpointReport known = before.value();
        long coldRemaining =
                Math.max(0, known.getColdMillis() - mClock.now().minus(before.at()).toMillis());
        boolean isColdChanged =
                Math.abs(coldRemaining - after.getColdMillis()) > COLD_TOLERANCE_MILLIS;
        return isColdChanged
                || known.getStartedAt() != after.getStartedAt()
                || known.getState() != after.getState()
                || known.getSlots() != after.getSlots()
                || !known.getAddress().equals(after.getAddress())
                || !known.getServiceName().equals(after.getServiceName())
                || !known.getDataCentre().equals(after.getDataCentre())
                || !known.getVersions().equals(after.getVersions());
    }

    private void publish(String key, EndpointReport report) {
        mFeed.put(new FeedItem().setKey(key).setEndpoint(report));
        mChanged.signalAll();
        Logger.info(
                "endpoint {} of {} at {} is {}, cold for {} ms, versions {}, start {}, report {}",
                report.getId(),
                report.getServiceName(),
                report.getAddress(),
                report.getState(),
                report.getColdMillis(),
                report.getVersions(),
                report.getStartedAt(),
                report.getSequence());
    }

    /** Returns an item with the cold time that remains as of now. */
    private FeedItem withRemainingColdTime(FeedItem item) {
        if (!item.isSetEndpoint() || item.getEndpoint().getColdMillis() <= 0) {
            return item;
        }
        Received<EndpointReport> received = mEndpoints.get(item.getEndpoint().getId());
        if (received == null) {
            return item;
        }
        long remaining =
                received.value().getColdMillis() - mClock.now().minus(received.at()).toMillis();
        EndpointReport report = item.getEndpoint().deepCopy();
        report.setColdMillis(Math.max(0, remaining));
        return new FeedItem().setKey(item.getKey()).setEndpoint(report);
    }

    private <T> boolean expire(
            Map<String, Received<T>> all, Duration lease, UnaryOperator<String> keyOf) {
        Duration oldest = mClock.now().minus(lease);
        boolean isChanged = false;
        for (Iterator<Map.Entry<String, Received<T>>> i = all.entrySet().iterator();
                i.hasNext(); ) {
            Map.Entry<String, Received<T>> entry = i.next();
            if (entry.getValue().at().compareTo(oldest) < 0) {
                i.remove();
                mFeed.drop(keyOf.apply(entry.getKey()));
                Logger.info("{} dropped: its lease expired", keyOf.apply(entry.getKey()));
                isChanged = true;
            }
        }
        return isChanged;
    }

    private static boolean isLeaving(EndpointReport report) {
        return report.getState() != EndpointState.READY;
    }
}
