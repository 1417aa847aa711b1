package org.sequoiahill.daemon.process.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.sequoiahill.daemon.process.settings.FleetSettings.FleetLimits;
import org.sequoiahill.daemon.process.settings.FleetSettings.FleetRole;
import org.sequoiahill.protocol.json.Fault;
import org.sequoiahill.protocol.json.ObjectReader;
import org.sequoiahill.protocol.json.ParseResult;
import org.sequoiahill.protocol.json.ParsedJson;

/** Reads the settings of a daemon that discovers the others through seeds; reports all faults. */
public final class FleetSettingsReader {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._:-]{1,100}");
    private static final Pattern OPTIONAL_NAME = Pattern.compile("[A-Za-z0-9._:-]{0,100}");
    private static final Pattern ROLE = Pattern.compile("entry|store|agent");
    private static final Pattern OPTIONAL_ADDRESS =
            Pattern.compile("|" + HostPort.PATTERN.pattern());
    private static final Pattern PATH = Pattern.compile(".{0,4096}");
    private static final Pattern LEVEL = Pattern.compile("trace|debug|info|warn|error");
    private static final long MAX_MILLIS = 600_000;
    private static final int MAX_LOST_STORES = 3;
    private static final long MAX_COUNT = 1_000_000;

    private static final double MAX_SECONDS = 600;
    private static final double MILLIS_PER_SECOND = 1_000;

    private FleetSettingsReader() {}

    /** Parses and checks settings. */
    public static ParseResult<FleetSettings> parse(String text) {
        ParseResult<ParsedJson> json = ParsedJson.parse(text);
        if (!json.isValid()) {
            return ParseResult.faulty(json.faults());
        }
        List<Fault> faults = new ArrayList<>();
        ObjectReader reader = json.orElseThrow().reader(faults);
        FleetSettings settings = read(reader);
        reader.rejectUnknownKeys();
        checkRole(settings, reader);
        return faults.isEmpty() ? ParseResult.of(settings) : ParseResult.faulty(faults);
    }

    private static FleetSettings read(ObjectReader reader) {
        return new FleetSettings(
                reader.string("vm", NAME),
                reader.string("name", NAME),
                readRole(reader),
                reader.string("dataCentre", NAME),
                readRegions(reader),
                readAddress(reader, "control").orElse(new HostPort("0.0.0.0", 0)),
                readAddress(reader, "metrics").orElse(new HostPort("0.0.0.0", 0)),
                readAddress(reader, "callers"),
                readAddress(reader, "ready"),
                readAddress(reader, "operators"),
                readSeeds(reader),
                reader.bool("mayFound", false),
                Optional.of(reader.string("dataFolder", PATH, ""))
                        .filter(path -> !path.isEmpty())
                        .map(Path::of),
                readAddress(reader, "engine"),
                reader.string("service", OPTIONAL_NAME, ""),
                reader.object("bounds", FleetSettingsReader::readLimits),
                reader.string("logLevel", LEVEL, "info"));
    }

    private static FleetRole readRole(ObjectReader reader) {
        String role = reader.string("role", ROLE);
        return role.isEmpty() ? FleetRole.ENTRY : FleetRole.valueOf(role.toUpperCase(Locale.ROOT));
    }

    private static Map<String, String> readRegions(ObjectReader reader) {
        return reader.strings("regions", NAME, NAME);
    }

    private static FleetLimits readLimits(ObjectReader reader) {
        return new FleetLimits(
                reader.millis("heartbeatMillis", 10, MAX_MILLIS, 1_000),
                (int) reader.integer("lostStores", 0, MAX_LOST_STORES, 1),
                reader.number("repeatRatio", 0, MAX_COUNT, 0.2),
                readSeconds(reader, "repeatWindowSeconds", 10),
                reader.number("repeatSlack", 0, MAX_COUNT, 100),
                reader.millis("versionMillis", 1, MAX_MILLIS, 60_000),
                readSeconds(reader, "drainSeconds", 8));
    }

    private static Duration readSeconds(ObjectReader reader, String key, double defaultValue) {
        double seconds = reader.number(key, 0, MAX_SECONDS, defaultValue);
        return Duration.ofMillis((long) (seconds * MILLIS_PER_SECOND));
    }

    /** Returns the seeds; {@code seedPort}, if set, overrides the port of each. */
    private static List<HostPort> readSeeds(ObjectReader reader) {
        int port = (int) reader.integer("seedPort", 0, HostPort.MAX_PORT, 0);
        List<HostPort> seeds = new ArrayList<>();
        for (String seed : reader.strings("seeds", HostPort.PATTERN)) {
            parseAddress(reader, "seeds", seed)
                    .map(address -> port == 0 ? address : new HostPort(address.host(), port))
                    .ifPresent(seeds::add);
        }
        return seeds;
    }

    private static Optional<HostPort> readAddress(ObjectReader reader, String key) {
        String text = reader.string(key, OPTIONAL_ADDRESS, "");
        return text.isEmpty() ? Optional.empty() : parseAddress(reader, key, text);
    }

    private static Optional<HostPort> parseAddress(ObjectReader reader, String key, String text) {
        HostPort address = HostPort.parse(text);
        if (address.port() < 1 || address.port() > HostPort.MAX_PORT) {
            reader.fault(key, "has port " + address.port() + "; must be 1 to " + HostPort.MAX_PORT);
            return Optional.empty();
        }
        return Optional.of(address);
    }

    private static void checkRole(FleetSettings settings, ObjectReader reader) {
        switch (settings.role()) {
            case ENTRY -> {
                require(reader, "callers", settings.callerAddress());
                require(reader, "ready", settings.readinessAddress());
            }
            case STORE -> {
                require(reader, "operators", settings.operatorAddress());
                require(reader, "dataFolder", settings.dataFolder());
            }
            case AGENT -> require(reader, "engine", settings.engine());
            default -> throw new IllegalStateException("unknown role " + settings.role());
        }
        if (settings.seeds().isEmpty()) {
            reader.fault("seeds", "is empty; a daemon discovers the others through its seeds");
        }
        if (settings.control().port() == 0) {
            reader.fault("control", "is missing");
        }
    }

    private static void require(ObjectReader reader, String key, Optional<?> value) {
        if (value.isEmpty()) {
            reader.fault(key, "is missing; this role requires it");
        }
    }
}
