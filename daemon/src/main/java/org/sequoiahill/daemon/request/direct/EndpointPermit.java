package org.sequoiahill.daemon.request.direct;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import org.sequoiahill.daemon.process.endpoints.EndpointInfo;

/** A permit for one attempt at an endpoint. */
public final class EndpointPermit {
    private final Dispatcher mDispatcher;
    private final EndpointInfo mEndpoint;
    private final EndpointStatus mStatus;
    private final long mNumber;
    private final OptionalLong mVersion;
    private final int mLoad;
    private final AtomicBoolean mIsReleased = new AtomicBoolean();
    private final AtomicBoolean mIsSilent = new AtomicBoolean();

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

    /** Result of an attempt. */
    public enum Result {
        /** The response was complete and no failure of the endpoint. */
        SUCCEEDED,
        /** The request was sent; the endpoint failed, or sent no usable response. */
        FAILED,
        /** Nothing was sent, usually because no connection could be established. */
        UNREACHABLE,
        /**
         * The endpoint stated that it did not run the request, for example for lack of capacity.
         */
        REJECTED,
        /** Another endpoint has the address. */
        MISDIRECTED,
        /** The entry cancelled the attempt, or did not start it. */
        CANCELLED
    }

    /** Returns the endpoint to which the request may be sent. */
    public EndpointInfo endpoint() {
        return mEndpoint;
    }

    /** Returns the version that the request must require, if any. */
    public OptionalLong version() {
        return mVersion;
    }

    /** Returns the estimated load of the endpoint, in requests, when the permit was granted. */
    public int load() {
        return mLoad;
    }

    /** Records the status and headers of the response. */
    public void onResponse(ResponseMetadata response) {
        mDispatcher.onResponse(mStatus, mNumber, response);
    }

    /**
     * Records that the endpoint has sent nothing for so long that the request may be sent again.
     * Counts as a failure of the endpoint, which a release as failed does not count once more.
     */
    public void onSilence() {
        if (mIsSilent.compareAndSet(false, true)) {
            mDispatcher.onSilence(mStatus, mNumber);
        }
    }

    /** Gives the permit back; calls after the first have no effect. */
    public void release(Result result) {
        if (mIsReleased.compareAndSet(false, true)) {
            boolean isCounted = result == Result.FAILED && mIsSilent.get();
            mDispatcher.release(mEndpoint, mStatus, mNumber, isCounted ? Result.CANCELLED : result);
        }
    }
}
