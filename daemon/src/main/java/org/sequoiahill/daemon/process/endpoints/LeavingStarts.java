package org.sequoiahill.daemon.process.endpoints;

import java.util.LinkedHashMap;
import java.util.Map;
import org.sequoiahill.protocol.gen.EndpointState;

/**
 * Starts of endpoints that are known to be leaving or gone; the oldest are discarded beyond a
 * limit. Not thread-safe.
 */
final class LeavingStarts {
    private static final int MAX_STARTS = 10_000;

    private final Map<Start, EndpointState> mStates =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Start, EndpointState> eldest) {
                    return size() > MAX_STARTS;
                }
            };

    private record Start(String id, long startedAt) {}

    /**
     * Records the state of a start. A ready one is not kept, nor an unknown start, since that of a
     * later restart would be the same.
     */
    void record(String id, long startedAt, EndpointState state) {
        if (state != EndpointState.READY && startedAt > 0) {
            mStates.merge(new Start(id, startedAt), state, LeavingStarts::latest);
        }
    }

    /** Returns the latest state of a start that is reported to be in a state. */
    EndpointState latest(String id, long startedAt, EndpointState reported) {
        EndpointState recorded = mStates.get(new Start(id, startedAt));
        return recorded == null ? reported : latest(recorded, reported);
    }

    /** Returns the later of two states of one start. */
    static EndpointState latest(EndpointState a, EndpointState b) {
        return a.getValue() >= b.getValue() ? a : b;
    }
}
