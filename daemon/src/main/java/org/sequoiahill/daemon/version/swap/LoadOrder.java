package org.sequoiahill.daemon.version.swap;

/**
 * An order to an engine to load a version.
 *
 * @param version digest of the version's manifest
 * @param fence fencing number: term of the stores' leader in the high half, revision of the
 *     configuration in the low half
 */
public record LoadOrder(String version, long fence) {}
