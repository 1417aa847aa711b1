package org.sequoiahill.daemon.request;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** Formats and parses the header in which an agent reports its endpoint's load. */
final class LoadHeader {
    private static final Pattern FORMAT = Pattern.compile("([0-9]{1,6})/([0-9]{1,6})");

    private LoadHeader() {}

    /** Returns the header's value. */
    static String format(EndpointGate.Load load) {
        return load.running() + "/" + load.limit();
    }

    /** Returns the load; empty if the header is missing or malformed. */
    static Optional<EndpointGate.Load> parse(@Nullable String value) {
        Matcher matcher = FORMAT.matcher(value == null ? "" : value);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.of(
                new EndpointGate.Load(
                        Integer.parseInt(matcher.group(1)), Integer.parseInt(matcher.group(2))));
    }
}
