package org.sequoiahill.daemon.process.endpoints;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sequoiahill.protocol.gen.EndpointReport;
import org.sequoiahill.protocol.gen.FeedItem;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.WatchReply;
import org.tinylog.Logger;

/** A reader's copy of one store's feed. Not thread-safe. */
public final class FeedMirror {
    private final Map<String, EndpointInfo> mEndpoints = new HashMap<>();
    private final Map<String, EndpointReport> mGone = new HashMap<>();
    private final Map<String, Participant> mParticipants = new HashMap<>();
    private long mFeed;
    private long mChange;

    /** Returns the id of the feed that was read last, 0 before the first read. */
    public long feed() {
        return mFeed;
    }

    /** Returns the number of the last change read. */
    public long change() {
        return mChange;
    }

    /**
     * Applies a reply; returns whether it may have changed anything.
     *
     * @param now monotonic time at which the reply was received
     */
    public boolean apply(WatchReply reply, Duration now) {
        boolean isChanged = !reply.getItems().isEmpty();
        if (reply.isWhole()) {
            isChanged |= !mEndpoints.isEmpty() || !mGone.isEmpty() || !mParticipants.isEmpty();
            clear();
        }
        mFeed = reply.getFeed();
        mChange = reply.getChange();
        for (FeedItem item : reply.getItems()) {
            apply(item, now);
        }
        return isChanged;
    }

    /** Discards everything that was read. */
    public void clear() {
        mFeed = 0;
        mChange = 0;
        mEndpoints.clear();
        mGone.clear();
        mParticipants.clear();
    }

    Iterable<EndpointInfo> endpoints() {
        return mEndpoints.values();
    }

    /** Returns reports of gone endpoints without their addresses, while the store holds them. */
    Iterable<EndpointReport> gone() {
        return mGone.values();
    }

    Iterable<Participant> participants() {
        return mParticipants.values();
    }

    private void apply(FeedItem item, Duration now) {
        mEndpoints.remove(item.getKey());
        mGone.remove(item.getKey());
        mParticipants.remove(item.getKey());
        if (item.isSetEndpoint()) {
            EndpointReport report = item.getEndpoint();
            if (report.getAddress().isEmpty()) {
                mGone.put(item.getKey(), report);
                return;
            }
            Optional<String> fault = EndpointReportCheck.faultOf(report);
            if (fault.isPresent()) {
                // A store of another release may have accepted it.
                Logger.warn("ignored endpoint {} of the feed: {}", report.getId(), fault.get());
                return;
            }
            mEndpoints.put(item.getKey(), EndpointInfo.of(report, now));
        } else if (item.isSetParticipant()) {
            mParticipants.put(item.getKey(), item.getParticipant());
        }
    }
}
