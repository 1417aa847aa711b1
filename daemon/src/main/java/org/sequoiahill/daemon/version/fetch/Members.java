package org.sequoiahill.daemon.version.fetch;

import java.util.List;

/**
 * Agents that serve the same service.
 *
 * @param near those of this region, this agent among them, ordered by VM
 * @param far some of other regions
 */
public record Members(List<Member> near, List<Member> far) {}
