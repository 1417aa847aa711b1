package org.sequoiahill.daemon.process.directory;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.Announcement;
import org.sequoiahill.protocol.gen.Renewal;

/** Endpoints of this data centre, each held as long as its lease is renewed. */
public final class EndpointDirectory {
    private final MonotonicClock mClock;
    private final Map<String, Endpoint> mEndpoints = new ConcurrentHashMap<>();
    private volatile DirectoryIntervals mIntervals = DirectoryIntervals.of(1, 1);

    private EndpointDirectory(MonotonicClock clock) {
        mClock = clock;
    }

    /** Returns an empty directory. */
    public static EndpointDirectory of(MonotonicClock clock) {
        return new EndpointDirectory(clock);
    }

    /** Returns how often leases are renewed and how long they last. */
    public DirectoryIntervals intervals() {
        return mIntervals;
    }

    /**
     * Recomputes the intervals from the numbers of endpoints held and of entries in the data
     * centre.
     */
    public void updateIntervals(int entries) {
        mIntervals = DirectoryIntervals.of(all().size(), entries);
    }

    /**
     * Stores an announcement, unless it is from an earlier incarnation of the agent or older than
     * the one held.
     */
    public void announce(Announcement announcement) {
        Duration expiry = expiry();
        mEndpoints.compute(
                announcement.getSender().getVm(),
                (vm, held) -> {
                    if (held == null) {
                        return new Endpoint(announcement, expiry);
                    }
                    held.update(announcement, expiry);
                    return held;
                });
    }

    /**
     * Renews a lease; an outdated renewal has no effect.
     *
     * @return whether the renewed announcement or a newer one is held
     */
    public boolean renew(Renewal renewal) {
        Endpoint held = mEndpoints.get(renewal.getVm());
        return held != null && held.renew(renewal, expiry());
    }

    /** Returns the endpoints of a service that accept new requests. */
    public List<Endpoint> serving(String service) {
        Duration now = mClock.now();
        List<Endpoint> result = new ArrayList<>();
        for (Endpoint endpoint : mEndpoints.values()) {
            if (endpoint.announcement().getServiceName().equals(service)
                    && endpoint.isServing(now)) {
                result.add(endpoint);
            }
        }
        return result;
    }

    /** Returns the service of the endpoint on a VM. */
    public Optional<String> serviceOf(String vm) {
        return Optional.ofNullable(mEndpoints.get(vm)).map(e -> e.announcement().getServiceName());
    }

    /** Returns all endpoints whose lease has not expired, serving or not, and drops the others. */
    public Collection<Endpoint> all() {
        Duration now = mClock.now();
        mEndpoints.values().removeIf(endpoint -> endpoint.isExpired(now));
        return List.copyOf(mEndpoints.values());
    }

    private Duration expiry() {
        return mClock.now().plus(mIntervals.lease());
    }
}
