package org.sequoiahill.daemon.process;

import java.util.Map;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.settings.FleetSettings;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.ParticipantRole;

/** Creates the descriptions that daemons announce of themselves. */
final class ParticipantFactory {
    private ParticipantFactory() {}

    static Participant of(FleetSettings settings, Identity identity) {
        return new Participant(
                settings.vm(),
                settings.displayName(),
                roleOf(settings),
                settings.dataCentre(),
                settings.control().toString(),
                identity.incarnation(),
                0,
                settings.engine().map(HostPort::toString).orElse(""),
                settings.service(),
                false,
                Map.of());
    }

    private static ParticipantRole roleOf(FleetSettings settings) {
        return switch (settings.role()) {
            case ENTRY -> ParticipantRole.ENTRY;
            case STORE -> ParticipantRole.STORE;
            case AGENT -> ParticipantRole.AGENT;
        };
    }
}
