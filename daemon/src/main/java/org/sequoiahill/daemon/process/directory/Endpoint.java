package org.sequoiahill.daemon.process.directory;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.sequoiahill.protocol.gen.Announcement;

/** An endpoint as its agent announces it, with what this entry has sent to it. */
public final class Endpoint {
    private final String mVm;
    private final AtomicInteger mSent = new AtomicInteger();
    private volatile Announcement mAnnouncement;
    private volatile Duration mExpiry;

    Endpoint(Announcement announcement, Duration expiry) {
        mVm = announcement.getSender().getVm();
        mAnnouncement = announcement;
        mExpiry = expiry;
    }

    /** Returns the VM of the endpoint. */
    public String vm() {
        return mVm;
    }

    /** Returns the newest announcement. */
    public Announcement announcement() {
        return mAnnouncement;
    }

    /** Returns the requests that this entry has running at the endpoint. */
    public int sent() {
        return mSent.get();
    }

    /** Notes a request sent; {@link #ended} must follow. */
    public void began() {
        mSent.incrementAndGet();
    }

    /** Notes the end of a request. */
    public void ended() {
        mSent.decrementAndGet();
    }

    /** Returns whether the endpoint takes new work. */
    public boolean isServing(Duration now) {
        return mAnnouncement.isServing()
                && !mAnnouncement.isLeaving()
                && mExpiry.compareTo(now) > 0;
    }

    boolean isExpired(Duration now) {
        return mExpiry.compareTo(now) <= 0;
    }

    void renew(Announcement announcement, Duration expiry) {
        mAnnouncement = announcement;
        mExpiry = expiry;
    }
}
