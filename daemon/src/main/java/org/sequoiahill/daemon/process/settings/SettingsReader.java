package org.sequoiahill.daemon.process.settings;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.sequoiahill.daemon.process.settings.DaemonSettings.AgentSettings;
import org.sequoiahill.daemon.process.settings.DaemonSettings.DrainSettings;
import org.sequoiahill.daemon.process.settings.DaemonSettings.LogSettings;
import org.sequoiahill.daemon.process.settings.DaemonSettings.Operator;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.daemon.process.settings.DaemonSettings.ReplicationSettings;
import org.sequoiahill.daemon.request.gate.SlowStart;
import org.sequoiahill.protocol.document.ServiceDocument;
import org.sequoiahill.protocol.json.Fault;
import org.sequoiahill.protocol.json.ObjectReader;
import org.sequoiahill.protocol.json.ParseResult;
import org.sequoiahill.protocol.json.ParsedJson;

/** Reads the daemon's settings from JSON with comments; reports all faults at once. */
public final class SettingsReader {
    private static final Pattern ROLE = Pattern.compile("entry|store|agent");
    private static final Pattern PATH = Pattern.compile(".{1,4096}");
    private static final Pattern HTTP = Pattern.compile("http://[^\\s?#]{1,200}");
    private static final Pattern LEVEL = Pattern.compile("trace|debug|info|warn|error");
    private static final Pattern TEAM = Pattern.compile("\\*|" + ServiceDocument.NAME.pattern());
    private static final HostPort INVALID_ADDRESS = new HostPort("0.0.0.0", 0);
    private static final int MAX_CAPACITY = 100_000;
    private static final long MAX_DRAIN_MILLIS = 600_000;
    private static final long DEFAULT_LINGER_MILLIS = 2_000;
    private static final long DEFAULT_DRAIN_MILLIS = 30_000;
    private static final long MAX_CAPACITY_BYTES = 1L << 30;
    private static final long DEFAULT_CAPACITY_BYTES = 64L << 20;
    private static final long MAX_CACHE_BYTES = 1L << 50;
    private static final long DEFAULT_CACHE_BYTES = 256L << 30;
    private static final long MAX_LINK_RATE = 1L << 40;
    private static final long DEFAULT_LINK_RATE = 1_250_000_000;

    private SettingsReader() {}

    /** Parses and checks settings. */
    public static ParseResult<DaemonSettings> parse(String text) {
        ParseResult<ParsedJson> json = ParsedJson.parse(text);
        if (!json.isValid()) {
            return ParseResult.faulty(json.faults());
        }
        List<Fault> faults = new ArrayList<>();
        ObjectReader reader = json.orElseThrow().reader(faults);
        DaemonSettings settings = read(reader);
        reader.rejectUnknownKeys();
        return faults.isEmpty() ? ParseResult.of(settings) : ParseResult.faulty(faults);
    }

    private static DaemonSettings read(ObjectReader reader) {
        Set<Role> roles = readRoles(reader);
        Optional<AgentSettings> agent = Optional.empty();
        if (roles.contains(Role.AGENT)) {
            agent = Optional.of(reader.object("agent", SettingsReader::readAgent));
        }
        return new DaemonSettings(
                reader.string("vm", ServiceDocument.NAME),
                reader.string("dataCentre", ServiceDocument.NAME),
                reader.string("region", ServiceDocument.NAME),
                roles,
                Path.of(reader.string("dataFolder", PATH)),
                readAddress(reader, "admin"),
                readAddress(reader, "control"),
                readAddress(reader, "data"),
                reader.objects("entries", SettingsReader::readPeer),
                reader.objects("stores", SettingsReader::readPeer),
                agent,
                reader.objects("operators", SettingsReader::readOperator),
                reader.object("log", SettingsReader::readLog),
                reader.object("replication", SettingsReader::readReplication),
                reader.object("drain", SettingsReader::readDrain));
    }

    private static Set<Role> readRoles(ObjectReader reader) {
        Set<Role> roles = EnumSet.noneOf(Role.class);
        for (String name : reader.strings("roles", ROLE)) {
            roles.add(Role.valueOf(name.toUpperCase(Locale.ROOT)));
        }
        if (roles.isEmpty()) {
            reader.fault("roles", "must hold at least one of entry, store, agent");
        }
        return roles;
    }

    private static HostPort readAddress(ObjectReader reader, String key) {
        String text = reader.string(key, HostPort.PATTERN);
        if (text.isEmpty()) {
            return INVALID_ADDRESS;
        }
        HostPort address = HostPort.parse(text);
        if (address.port() < 1 || address.port() > HostPort.MAX_PORT) {
            reader.fault(key, "is " + text + "; the port must be 1 to " + HostPort.MAX_PORT);
        }
        return address;
    }

    private static PeerVm readPeer(ObjectReader reader) {
        return new PeerVm(
                reader.string("vm", ServiceDocument.NAME),
                reader.string("dataCentre", ServiceDocument.NAME),
                readAddress(reader, "control"),
                readAddress(reader, "data"));
    }

    private static AgentSettings readAgent(ObjectReader reader) {
        int capacity = (int) reader.integer("capacity", 1, MAX_CAPACITY);
        return new AgentSettings(
                reader.string("service", ServiceDocument.NAME),
                URI.create(reader.string("engine", HTTP)),
                URI.create(reader.string("origin", HTTP, "")),
                capacity,
                readWarmUp(reader, capacity),
                reader.integer("capacityBytes", 1, MAX_CAPACITY_BYTES, DEFAULT_CAPACITY_BYTES),
                reader.bool("checksFencing", false),
                reader.integer("cacheBytes", 1, MAX_CACHE_BYTES, DEFAULT_CACHE_BYTES),
                reader.integer("linkBytesPerSecond", 1, MAX_LINK_RATE, DEFAULT_LINK_RATE));
    }

    /**
     * Reads the warm-up. By default, a cold endpoint has half its capacity until it has sent twice
     * as many responses as its capacity.
     */
    private static SlowStart.WarmUp readWarmUp(ObjectReader reader, int capacity) {
        int defaultColdCapacity = Math.max(1, capacity / 2);
        return new SlowStart.WarmUp(
                (int) reader.integer("coldCapacity", 1, MAX_CAPACITY, defaultColdCapacity),
                (int)
                        reader.integer(
                                "coldAnswers",
                                0,
                                MAX_CAPACITY,
                                Math.min(2 * capacity, MAX_CAPACITY)));
    }

    private static Operator readOperator(ObjectReader reader) {
        return new Operator(
                reader.string("name", ServiceDocument.NAME),
                reader.string("team", TEAM),
                reader.string("tokenDigest", ServiceDocument.DIGEST));
    }

    private static ReplicationSettings readReplication(ObjectReader reader) {
        long heartbeat = reader.integer("heartbeatMillis", 20, 10_000, 500);
        long minElection = reader.integer("electionMinMillis", 100, 60_000, 1_500);
        long maxElection = reader.integer("electionMaxMillis", 200, 120_000, 3_000);
        if (2 * heartbeat > minElection) {
            reader.fault("electionMinMillis", "must be at least twice heartbeatMillis");
        }
        if (minElection >= maxElection) {
            reader.fault("electionMaxMillis", "must be above electionMinMillis");
        }
        return new ReplicationSettings(
                Duration.ofMillis(heartbeat),
                Duration.ofMillis(minElection),
                Duration.ofMillis(maxElection),
                (int) reader.integer("snapshotEntries", 16, 1_000_000, 4_096));
    }

    private static LogSettings readLog(ObjectReader reader) {
        String file = reader.string("file", PATH, "");
        return new LogSettings(
                reader.string("level", LEVEL, "info"),
                file.isEmpty() ? Optional.empty() : Optional.of(file));
    }

    private static DrainSettings readDrain(ObjectReader reader) {
        return new DrainSettings(
                reader.millis("lingerMillis", 0, MAX_DRAIN_MILLIS, DEFAULT_LINGER_MILLIS),
                reader.millis("boundMillis", 0, MAX_DRAIN_MILLIS, DEFAULT_DRAIN_MILLIS));
    }
}
