package org.sequoiahill.daemon.process.endpoints;

import java.util.Map;
import org.sequoiahill.protocol.gen.EndpointReport;
import org.sequoiahill.protocol.gen.EndpointState;

/** Endpoint reports for tests. */
public final class Reports {
    private Reports() {}

    /** Returns a report of a ready endpoint of the service {@code writer}. */
    public static EndpointReport ready(String id, long startedAt, long sequence) {
        return new EndpointReport(
                id,
                startedAt,
                sequence,
                "writer",
                "127.0.0.9:80",
                "dc-1",
                "v1",
                4,
                EndpointState.READY,
                0,
                Map.of("model", 1L));
    }
}
