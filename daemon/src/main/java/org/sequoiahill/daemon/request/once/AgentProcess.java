package org.sequoiahill.daemon.request.once;

/**
 * One run of an agent, as a claim names it.
 *
 * @param vm VM of the agent
 * @param incarnation number that rises with each start of the agent
 */
public record AgentProcess(String vm, long incarnation) {}
