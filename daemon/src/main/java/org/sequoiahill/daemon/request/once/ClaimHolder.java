package org.sequoiahill.daemon.request.once;

/**
 * The attempt that holds a claim, and so alone may run the request.
 *
 * @param attempt number of the attempt
 * @param agent run of the agent that the attempt is sent to
 */
public record ClaimHolder(long attempt, AgentProcess agent) {}
