package org.sequoiahill.daemon.request.once;

/**
 * An attempt that holds or requests a claim; only the holder may run the request.
 *
 * @param attempt number of the attempt
 * @param agent agent process that the attempt is sent to
 */
public record ClaimHolder(long attempt, AgentProcess agent) {}
