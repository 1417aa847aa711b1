package org.sequoiahill.daemon.process.endpoints;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.EndpointReport;
import org.sequoiahill.protocol.gen.EndpointState;
import org.sequoiahill.protocol.gen.FeedItem;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.WatchReply;
import org.tinylog.Logger;

/**
 * What one store has heard from endpoints and daemons, as a feed of changes.
 *
 * <p>The state is soft: an endpoint or a daemon that isn't heard for its lease is dropped, and
 * after a restart the registry fills within one heartbeat. Reports of one start of an endpoint are
 * ordered by their sequence, so late ones change nothing, and an endpoint that has said that it
 * leaves never becomes ready again under the same start.
 */
public final class EndpointRegistry {
    private static final int MAX_MARKERS = 4_096;

    /** Time for which news is collected, for each daemon that reads it; bounds the replies. */
    private static final Duration COLLECT_PER_READER = Duration.ofNanos(500_000);

    private static final Duration MAX_COLLECT = Duration.ofMillis(150);

    /** Change of the end of a cold phase, in milliseconds, that entries are told of. */
    private static final long COLD_TOLERANCE_MILLIS = 500;

    private final MonotonicClock mClock;
    private final Duration mEndpointLease;
    private final Duration mParticipantLease;
    private final long mFeed;
    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mChanged = mLock.newCondition();

    /** Never signalled; readers that collect news wait on it. */
    private final Condition mCollected = mLock.newCondition();

    private final ChangeFeed mItems = ChangeFeed.remembering(MAX_MARKERS);
    private final Map<String, Heard<EndpointReport>> mEndpoints = new HashMap<>();
    private final Map<String, Heard<Participant>> mParticipants = new HashMap<>();

    private EndpointRegistry(
            MonotonicClock clock, Duration endpointLease, Duration participantLease, long feed) {
        mClock = clock;
        mEndpointLease = endpointLease;
        mParticipantLease = participantLease;
        mFeed = feed;
    }

    /**
     * Returns an empty registry.
     *
     * @param endpointLease silence after which an endpoint is dropped
     * @param participantLease silence after which a daemon is dropped
     * @param feed number that no other life of this registry has
     */
    public static EndpointRegistry of(
            MonotonicClock clock, Duration endpointLease, Duration participantLease, long feed) {
        return new EndpointRegistry(clock, endpointLease, participantLease, feed);
    }

    private record Heard<T>(T value, Duration at) {}

    /**
     * Takes a report of an endpoint.
     *
     * @return whether other stores must hear of it before it is acknowledged: the endpoint leaves
     */
    public boolean report(EndpointReport report) {
        mLock.lock();
        try {
            Heard<EndpointReport> before = mEndpoints.get(report.getId());
            EndpointReport merged = before == null ? report : merge(before, report);
            mEndpoints.put(report.getId(), new Heard<>(merged, mClock.now()));
            if (before == null || isNews(before, merged)) {
                publish(merged);
            }
            boolean wasLeaving = before != null && isLeaving(before.value());
            return isLeaving(merged) && !wasLeaving;
        } finally {
            mLock.unlock();
        }
    }

    /** Notes that an endpoint has gone; one that isn't known is remembered by its id alone. */
    public EndpointReport gone(String id) {
        mLock.lock();
        try {
            Heard<EndpointReport> known = mEndpoints.get(id);
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
            report.setState(EndpointState.GONE);
            return report;
        } finally {
            mLock.unlock();
        }
    }

    /** Takes what a daemon says of itself. */
    public void heard(Participant participant) {
        mLock.lock();
        try {
            Heard<Participant> before = mParticipants.get(participant.getVm());
            mParticipants.put(participant.getVm(), new Heard<>(participant, mClock.now()));
            if (before == null || !before.value().equals(participant)) {
                mItems.put(
                        new FeedItem()
                                .setKey(FeedKeys.participant(participant.getVm()))
                                .setParticipant(participant));
                mChanged.signalAll();
            }
        } finally {
            mLock.unlock();
        }
    }

    /** Drops what has not been heard for its lease. */
    public void expire() {
        mLock.lock();
        try {
            boolean isEndpointGone = expire(mEndpoints, mEndpointLease, FeedKeys::endpoint);
            boolean isDaemonGone = expire(mParticipants, mParticipantLease, FeedKeys::participant);
            if (isEndpointGone || isDaemonGone) {
                mChanged.signalAll();
            }
        } finally {
            mLock.unlock();
        }
    }

    /** Wakes all who wait, since something else that they wait for has changed. */
    public void wake() {
        mLock.lock();
        try {
            mChanged.signalAll();
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Fills a reply with what a reader does not know, after a wait for news. Once there is some,
     * the reply waits a moment for more: when many daemons start or load a version, each change
     * would otherwise be one reply to every reader.
     *
     * @param feed feed that the reader has read from, 0 for none
     * @param change last change that the reader knows
     * @param hasOtherNews whether the reader waits for something else that is there
     */
    public void await(
            WatchReply reply, long feed, long change, Duration wait, BooleanSupplier hasOtherNews) {
        long known = feed == mFeed ? change : 0;
        mLock.lock();
        try {
            long left = wait.toNanos();
            while (known > 0
                    && known == mItems.change()
                    && !hasOtherNews.getAsBoolean()
                    && left > 0) {
                left = mChanged.awaitNanos(left);
            }
            if (known > 0 && known != mItems.change() && !hasOtherNews.getAsBoolean()) {
                awaitCollected(left);
            }
            ChangeFeed.Changes changes = mItems.since(known);
            reply.setFeed(mFeed);
            reply.setChange(changes.change());
            reply.setWhole(changes.isWhole());
            for (FeedItem item : changes.items()) {
                reply.addToItems(aged(item));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            mLock.unlock();
        }
    }

    private void awaitCollected(long mostNanos) throws InterruptedException {
        long collect = COLLECT_PER_READER.multipliedBy(mParticipants.size()).toNanos();
        long left = Math.min(mostNanos, Math.min(collect, MAX_COLLECT.toNanos()));
        while (left > 0) {
            left = mCollected.awaitNanos(left);
        }
    }

    /** Returns the daemons that are heard. */
    public int participants() {
        mLock.lock();
        try {
            return mParticipants.size();
        } finally {
            mLock.unlock();
        }
    }

    private EndpointReport merge(Heard<EndpointReport> before, EndpointReport report) {
        EndpointReport known = before.value();
        if (report.getState() == EndpointState.GONE) {
            return report.getStartedAt() < known.getStartedAt() && report.getStartedAt() > 0
                    ? known
                    : known.deepCopy().setState(EndpointState.GONE);
        }
        if (report.getStartedAt() != known.getStartedAt()) {
            return report.getStartedAt() > known.getStartedAt() ? report : known;
        }
        if (report.getSequence() <= known.getSequence()) {
            return known;
        }
        if (known.getState().getValue() > report.getState().getValue()) {
            return report.deepCopy().setState(known.getState());
        }
        return report;
    }

    private boolean isNews(Heard<EndpointReport> before, EndpointReport after) {
        EndpointReport known = before.value();
        long coldLeft =
                Math.max(0, known.getColdMillis() - mClock.now().minus(before.at()).toMillis());
        boolean isColdChanged = Math.abs(coldLeft - after.getColdMillis()) > COLD_TOLERANCE_MILLIS;
        return isColdChanged
                || known.getStartedAt() != after.getStartedAt()
                || known.getState() != after.getState()
                || known.getSlots() != after.getSlots()
                || !known.getAddress().equals(after.getAddress())
                || !known.getServiceName().equals(after.getServiceName())
                || !known.getDataCentre().equals(after.getDataCentre())
                || !known.getVersions().equals(after.getVersions());
    }

    private void publish(EndpointReport report) {
        mItems.put(new FeedItem().setKey(FeedKeys.endpoint(report.getId())).setEndpoint(report));
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

    /** Returns an item with the rest of the cold time as of now. */
    private FeedItem aged(FeedItem item) {
        if (!item.isSetEndpoint() || item.getEndpoint().getColdMillis() <= 0) {
            return item;
        }
        Heard<EndpointReport> heard = mEndpoints.get(item.getEndpoint().getId());
        if (heard == null) {
            return item;
        }
        long left = heard.value().getColdMillis() - mClock.now().minus(heard.at()).toMillis();
        EndpointReport report = item.getEndpoint().deepCopy();
        report.setColdMillis(Math.max(0, left));
        return new FeedItem().setKey(item.getKey()).setEndpoint(report);
    }

    private <T> boolean expire(
            Map<String, Heard<T>> all, Duration lease, UnaryOperator<String> keyOf) {
        Duration oldest = mClock.now().minus(lease);
        boolean isChanged = false;
        for (Iterator<Map.Entry<String, Heard<T>>> i = all.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<String, Heard<T>> entry = i.next();
            if (entry.getValue().at().compareTo(oldest) < 0) {
                i.remove();
                mItems.drop(keyOf.apply(entry.getKey()));
                Logger.info("{} is no longer heard", keyOf.apply(entry.getKey()));
                isChanged = true;
            }
        }
        return isChanged;
    }

    private static boolean isLeaving(EndpointReport report) {
        return report.getState() != EndpointState.READY;
    }
}
