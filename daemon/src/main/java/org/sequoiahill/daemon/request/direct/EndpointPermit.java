package org.sequoiahill.daemon.request.direct;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import org.sequoiahill.daemon.process.endpoints.EndpointInfo;

/** A place at an endpoint, held for one sending. */
public final class EndpointPermit {
    private final Dispatcher mDispatcher;
    private final EndpointInfo mEndpoint;
    private final EndpointStatus mStatus;
    private final long mNumber;
    private final OptionalLong mVersion;
    private final int mLoad;
    private final AtomicBoolean mIsEnded = new AtomicBoolean();

    EndpointPermit(
            Dispatcher dispatcher,
            EndpointInfo endpoint,
            EndpointStatus status,
            long number,
            OptionalLong version,
            int load) {
        mDispatcher = dispatcher;
        mEndpoint = endpoint;
        mStatus = status;
        mNumber = number;
        mVersion = version;
        mLoad = load;
    }

    /** What became of a sending. */
    public enum Result {
        /** The answer was whole. */
        SUCCEEDED,
        /** The endpoint failed after it had the request. */
        FAILED,
        /** No connection could be made. */
        UNREACHABLE,
        /** The endpoint was full and did not run the request. */
        REJECTED,
        /** Another endpoint has the address, or the endpoint lacks the version. */
        MISDIRECTED,
        /** The entry ended the sending for reasons of its own. */
        CANCELLED
    }

    /** Returns the endpoint. */
    public EndpointInfo endpoint() {
        return mEndpoint;
    }

    /** Returns the version that the request must name, where that matters. */
    public OptionalLong version() {
        return mVersion;
    }

    /** Returns the estimated load of the endpoint when the place was given. */
    public int load() {
        return mLoad;
    }

    /** Notes the head of the answer. */
    public void onResponse(ResponseMetadata answer) {
        mDispatcher.onResponse(mStatus, mNumber, answer);
    }

    /** Gives the place back; only the first call counts. */
    public void release(Result end) {
        if (mIsEnded.compareAndSet(false, true)) {
            mDispatcher.release(mEndpoint, mStatus, mNumber, end);
        }
    }
}
