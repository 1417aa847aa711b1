package org.sequoiahill.daemon.request.once;

/**
 * Who may run a claimed call.
 *
 * @param attempt attempt that holds the claim
 * @param agent agent that the attempt was meant for
 */
public record ClaimHolder(long attempt, AgentProcess agent) {}
