package org.sequoiahill.daemon.process.settings;

import java.util.regex.Pattern;

/**
 * An IP address and a port.
 *
 * @param host IP address
 * @param port port, 1 to 65535; 0 only in place of a missing or invalid address
 */
public record HostPort(String host, int port) {
    /** Syntax of an address; the range of the port is checked separately. */
    public static final Pattern PATTERN = Pattern.compile("[0-9a-fA-F.:]{2,45}:[0-9]{1,5}");

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
