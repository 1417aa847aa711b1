package org.sequoiahill.daemon.request.once;

/**
 * One process of an agent, as identified in a claim.
 *
 * @param vm VM of the agent
 * @param incarnation number that increases with each start of the agent
 */
public record AgentProcess(String vm, long incarnation) {}
