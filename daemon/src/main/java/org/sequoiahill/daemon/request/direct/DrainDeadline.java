package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.process.fleet.Route;
import org.sequoiahill.daemon.request.Refusal;

/**
 * The time at which a stopping process ends its unfinished requests, if it is stopping.
 * Thread-safe.
 */
public final class DrainDeadline {
    /** States no retry time, since other entries can serve the request at once. */
    private static final Refusal ENDS_TOO_EARLY =
            Refusal.overloaded(
                    "entry_leaving", "this process may end before the request does", Duration.ZERO);

    private volatile @Nullable Duration mEnd;

    private DrainDeadline() {}

    /** Returns the deadline of a process that is not stopping. */
    public static DrainDeadline unset() {
        return new DrainDeadline();
    }

    /** Sets the time at which unfinished requests are ended. */
    public void set(Duration end) {
        mEnd = end;
    }

    /**
     * Returns the time until unfinished requests are ended, zero if the process is not stopping.
     */
    public Duration timeLeft(Duration now) {
        Duration end = mEnd;
        return end == null ? Duration.ZERO : end.minus(now);
    }

    /**
     * Returns the refusal of a request whose stream may last beyond the end of the drain, where it
     * would be truncated; a request of another kind gets a complete error response then.
     */
    Optional<Refusal> refuse(Route route, Duration requestDeadline) {
        Duration end = mEnd;
        boolean mayBeTruncated =
                end != null
                        && route.kind() == Route.Kind.STREAM
                        && requestDeadline.compareTo(end) > 0;
        return mayBeTruncated ? Optional.of(ENDS_TOO_EARLY) : Optional.empty();
    }
}
