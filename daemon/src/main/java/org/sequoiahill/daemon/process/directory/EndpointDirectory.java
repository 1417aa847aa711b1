package org.sequoiahill.daemon.process.directory;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.Announcement;

/** Endpoints of this data centre, each held for as long as its lease is renewed. */
public final class EndpointDirectory {
    /** Time that an announcement stays valid. */
    public static final Duration LEASE = Duration.ofSeconds(3);

    private final MonotonicClock mClock;
    private final Map<String, Endpoint> mEndpoints = new ConcurrentHashMap<>();

    private EndpointDirectory(MonotonicClock clock) {
        mClock = clock;
    }

    /** Returns an empty directory. */
    public static EndpointDirectory of(MonotonicClock clock) {
        return new EndpointDirectory(clock);
    }

    /** Takes an announcement in; one from an earlier incarnation of the agent is dropped. */
    public void announce(Announcement announcement) {
        Duration expiry = mClock.now().plus(LEASE);
        mEndpoints.compute(
                announcement.getSender().getVm(),
                (vm, held) -> {
                    if (held == null) {
                        return new Endpoint(announcement, expiry);
                    }
                    if (isOlder(announcement, held.announcement())) {
                        return held;
                    }
                    held.renew(announcement, expiry);
                    return held;
                });
    }

    /** Returns the endpoints of a service that take new work. */
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

    /** Returns all endpoints whose lease is valid, serving or not. */
    public Collection<Endpoint> all() {
        Duration now = mClock.now();
        mEndpoints.values().removeIf(endpoint -> endpoint.isExpired(now));
        return List.copyOf(mEndpoints.values());
    }

    private static boolean isOlder(Announcement offered, Announcement held) {
        return offered.getSender().getIncarnation() < held.getSender().getIncarnation();
    }
}
