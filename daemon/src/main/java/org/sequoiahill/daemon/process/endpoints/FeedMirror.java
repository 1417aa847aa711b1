package org.sequoiahill.daemon.process.endpoints;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.sequoiahill.protocol.gen.EndpointReport;
import org.sequoiahill.protocol.gen.FeedItem;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.WatchReply;

/** A reader's copy of one store's feed. Not safe for several threads. */
public final class FeedMirror {
    private final Map<String, EndpointInfo> mEndpoints = new HashMap<>();
    private final Map<String, EndpointReport> mNameless = new HashMap<>();
    private final Map<String, Participant> mParticipants = new HashMap<>();
    private long mFeed;
    private long mChange;

    /** Returns the feed that was read last, 0 before the first. */
    public long feed() {
        return mFeed;
    }

    /** Returns the last change that is known. */
    public long change() {
        return mChange;
    }

    /**
     * Takes a reply; returns whether it changed anything.
     *
     * @param now monotonic time at which the reply came
     */
    public boolean take(WatchReply reply, Duration now) {
        boolean isChanged = !reply.getItems().isEmpty();
        if (reply.isWhole()) {
            isChanged |= !mEndpoints.isEmpty() || !mParticipants.isEmpty();
            clear();
        }
        mFeed = reply.getFeed();
        mChange = reply.getChange();
        for (FeedItem item : reply.getItems()) {
            take(item, now);
        }
        return isChanged;
    }

    /** Forgets all that was read. */
    public void clear() {
        mFeed = 0;
        mChange = 0;
        mEndpoints.clear();
        mNameless.clear();
        mParticipants.clear();
    }

    Iterable<EndpointInfo> endpoints() {
        return mEndpoints.values();
    }

    /** Returns ids of endpoints that have gone and of which nothing else is known. */
    Iterable<String> goneIds() {
        return mNameless.keySet();
    }

    Iterable<Participant> participants() {
        return mParticipants.values();
    }

    private void take(FeedItem item, Duration now) {
        mEndpoints.remove(item.getKey());
        mParticipants.remove(item.getKey());
        if (item.isSetEndpoint()) {
            EndpointReport report = item.getEndpoint();
            if (report.getAddress().isEmpty()) {
                mNameless.put(report.getId(), report);
            } else {
                mEndpoints.put(item.getKey(), EndpointInfo.of(report, now));
            }
        } else if (item.isSetParticipant()) {
            mParticipants.put(item.getKey(), item.getParticipant());
        }
    }
}
