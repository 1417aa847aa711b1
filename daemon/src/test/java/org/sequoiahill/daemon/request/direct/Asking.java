package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** A request that asks for a place. */
final class Asking implements Ticket {
    int mPromptTokens;
    Optional<String> mRegion = Optional.empty();
    private final int mPriority;
    private final Duration mGiveUpAt;
    final Set<String> mTried = new HashSet<>();
    boolean mIsLate;
    volatile Optional<Place> mPlace = Optional.empty();
    volatile Optional<Refused> mRefused = Optional.empty();

    Asking(int priority, Duration giveUpAt) {
        mPriority = priority;
        mGiveUpAt = giveUpAt;
    }

    boolean isAt(String id) {
        return mPlace.filter(place -> place.endpoint().id().equals(id)).isPresent();
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
    public Duration giveUpAt() {
        return mGiveUpAt;
    }

    @Override
    public int promptTokens() {
        return mPromptTokens;
    }

    @Override
    public Duration answerTarget() {
        return Duration.ofMillis(400);
    }

    @Override
    public boolean allows(String region) {
        return mRegion.isEmpty() || mRegion.get().equals(region);
    }

    @Override
    public Set<String> tried() {
        return mTried;
    }

    @Override
    public boolean isAbandoned() {
        return false;
    }

    @Override
    public void granted(Place place) {
        mPlace = Optional.of(place);
    }

    @Override
    public void refused(Refused refused) {
        mRefused = Optional.of(refused);
    }
}
