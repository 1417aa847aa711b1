package org.sequoiahill.daemon.request.once;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Identifies one attempt at a claimed request, in the request to the agent and in requests to bar
 * it.
 *
 * @param incarnation incarnation of the agent that the claim names
 * @param attempt number of the attempt; its high bits are the wall-clock time of the claim
 * @param keyDigest SHA-256 of the claim's key in hexadecimal
 */
public record AttemptTicket(long incarnation, long attempt, String keyDigest) {
    /** Header that carries a ticket. */
    public static final String HEADER = "Sequoia-Attempt";

    private static final Pattern PATTERN =
            Pattern.compile("([0-9]{1,18}):([0-9]{1,19}):([0-9a-f]{64})");

    /** Parses the value of the header; empty if it is malformed. */
    public static Optional<AttemptTicket> parse(String text) {
        Matcher matcher = PATTERN.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new AttemptTicket(
                            Long.parseLong(matcher.group(1)),
                            Long.parseLong(matcher.group(2)),
                            matcher.group(3)));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return incarnation + ":" + attempt + ":" + keyDigest;
    }
}
