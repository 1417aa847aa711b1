package org.sequoiahill.daemon.request.quarantine;

import java.time.Duration;
import java.util.Map;
import org.sequoiahill.daemon.process.endpoints.EndpointInfo;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.protocol.gen.EndpointState;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.ParticipantRole;

/** Entries and engines of a simulated fleet, as the stores report them. */
final class SimulatedMembers {
    private SimulatedMembers() {}

    static Participant entry(int index) {
        return new Participant(
                "entry-" + index,
                "entry-" + index,
                ParticipantRole.ENTRY,
                "dc",
                "10.0.0." + index + ":1",
                1,
                0,
                "",
                "",
                false,
                Map.of());
    }

    static EndpointInfo engine(String name, long startedAt) {
        return new EndpointInfo(
                name,
                startedAt,
                1,
                "s",
                new HostPort("10.0.1.1", 1),
                "dc",
                16,
                EndpointState.READY,
                Duration.ZERO,
                Map.of());
    }
}
