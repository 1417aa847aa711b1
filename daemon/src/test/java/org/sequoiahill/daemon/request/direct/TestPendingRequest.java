package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** A pending request that stores the permit or the refusal that it receives. */
final class TestPendingRequest implements PendingRequest {
    int mPromptTokens;
    Optional<String> mRegion = Optional.empty();
    private final int mPriority;
    private final Duration mQueueDeadline;
    final Set<String> mTriedEndpoints = new HashSet<>();
    boolean mIsLate;
    volatile Optional<EndpointPermit> mPermit = Optional.empty();
    volatile Optional<DispatchRefusal> mRefusal = Optional.empty();

    TestPendingRequest(int priority, Duration queueDeadline) {
        mPriority = priority;
        mQueueDeadline = queueDeadline;
    }

    boolean isAt(String id) {
        return mPermit.filter(permit -> permit.endpoint().id().equals(id)).isPresent();
    }

    @Override
    public String service() {
        return "writer";
    }

    @Override
    public String model() {
        return "model";
    }

    @Override
    public OptionalLong version() {
        return OptionalLong.empty();
    }

    @Override
    public int priority() {
        return mPriority;
    }

    @Override
    public boolean isLate() {
        return mIsLate;
    }

    @Override
    public Duration queueDeadline() {
        return mQueueDeadline;
    }

    @Override
    public int promptTokens() {
        return mPromptTokens;
    }

    @Override
    public Duration latencyTarget() {
        return Duration.ofMillis(400);
    }

    @Override
    public boolean allows(String region) {
        return mRegion.isEmpty() || mRegion.get().equals(region);
    }

    @Override
    public Set<String> triedEndpoints() {
        return mTriedEndpoints;
    }

    @Override
    public boolean isAbandoned() {
        return false;
    }

    @Override
    public void onGranted(EndpointPermit permit) {
        mPermit = Optional.of(permit);
    }

    @Override
    public void onRefused(DispatchRefusal refusal) {
        mRefusal = Optional.of(refusal);
    }
}
