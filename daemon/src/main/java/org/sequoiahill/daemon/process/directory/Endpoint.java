package org.sequoiahill.daemon.process.directory;

import java.time.Duration;
import org.sequoiahill.protocol.gen.Announcement;
import org.sequoiahill.protocol.gen.Renewal;

/** An endpoint as announced by its agent, with its load as seen by this entry. */
public final class Endpoint implements RoutingTarget {
    private final String mVm;
    private final TargetLoad mLoad;
    private volatile Announcement mAnnouncement;
    private volatile Duration mExpiry;

    /** Highest sequence number of the announcement and its renewals. */
    private long mSequence;

    Endpoint(Announcement announcement, Duration expiry) {
        mVm = announcement.getSender().getVm();
        mAnnouncement = announcement;
        mExpiry = expiry;
        mSequence = announcement.getSequence();
        mLoad = TargetLoad.idle(announcement.getLimit());
        mLoad.report(announcement.getRunning(), announcement.getLimit());
    }

    /** Returns the VM of the endpoint. */
    public String vm() {
        return mVm;
    }

    @Override
    public String name() {
        return mVm;
    }

    @Override
    public TargetLoad load() {
        return mLoad;
    }

    /** Returns the latest announcement. */
    public Announcement announcement() {
        return mAnnouncement;
    }

    /** Returns the number of this entry's requests that are running at the endpoint. */
    public int sent() {
        return mLoad.sent();
    }

    /** Returns whether the endpoint accepts new requests. */
    public boolean isServing(Duration now) {
        return mAnnouncement.isServing()
                && !mAnnouncement.isLeaving()
                && mExpiry.compareTo(now) > 0;
    }

    boolean isExpired(Duration now) {
        return mExpiry.compareTo(now) <= 0;
    }

    /** Replaces the announcement, unless the new one is older than the one held. */
    synchronized void update(Announcement announcement, Duration expiry) {
        long incarnation = announcement.getSender().getIncarnation();
        long heldIncarnation = mAnnouncement.getSender().getIncarnation();
        boolean isOlder =
                incarnation < heldIncarnation
                        || (incarnation == heldIncarnation
                                && announcement.getSequence() < mAnnouncement.getSequence());
        if (isOlder) {
            return;
        }
        if (incarnation > heldIncarnation) {
            mLoad.resume();
        }
        mAnnouncement = announcement;
        mSequence =
                Math.max(incarnation > heldIncarnation ? 0 : mSequence, announcement.getSequence());
        mExpiry = expiry;
        mLoad.report(announcement.getRunning(), announcement.getLimit());
    }

    /** Renews the lease; returns whether the renewed announcement or a newer one is held. */
    synchronized boolean renew(Renewal renewal, Duration expiry) {
        long heldIncarnation = mAnnouncement.getSender().getIncarnation();
        if (renewal.getIncarnation() != heldIncarnation) {
            return renewal.getIncarnation() < heldIncarnation;
        }
        if (renewal.getAnnounced() != mAnnouncement.getSequence()) {
            return renewal.getAnnounced() < mAnnouncement.getSequence();
        }
        if (renewal.getSequence() > mSequence) {
            mSequence = renewal.getSequence();
            mExpiry = expiry;
            mAnnouncement =
                    new Announcement(mAnnouncement)
                            .setRunning(renewal.getRunning())
                            .setLimit(renewal.getLimit());
            mLoad.report(renewal.getRunning(), renewal.getLimit());
        }
        return true;
    }
}
