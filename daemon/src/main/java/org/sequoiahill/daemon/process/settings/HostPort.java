package org.sequoiahill.daemon.process.settings;

import java.util.regex.Pattern;

/**
 * An IP address and a port.
 *
 * @param host IP address
 * @param port port, 1 to 65535; 0 only in place of a missing or invalid address
 */
public record HostPort(String host, int port) {
    /** Largest port number. */
    public static final int MAX_PORT = 65_535;

    /** Syntax of an address; the range of the port is checked separately. */
    public static final Pattern PATTERN = Pattern.compile("[0-9a-fA-F.:]{2,45}:[0-9]{1,5}");

    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";
    private static final Pattern IPV4 =
            Pattern.compile("(" + OCTET + "\\.){3}" + OCTET + ":[1-9][0-9]{0,4}");

    /** Returns whether a text is an IPv4 address and a port from 1 to 65535. */
    public static boolean isIpv4WithPort(String text) {
        return IPV4.matcher(text).matches() && parse(text).port() <= MAX_PORT;
    }

    /** Parses {@code host:port}. */
    public static HostPort parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("not host:port: " + text);
        }
        return new HostPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
