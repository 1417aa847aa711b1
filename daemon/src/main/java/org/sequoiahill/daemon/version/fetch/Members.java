package org.sequoiahill.daemon.version.fetch;

import java.util.List;

/**
 * Agents that serve the same service.
 *
 * @param sameRegion those of this region, this agent among them, ordered by VM
 * @param otherRegions some of other regions
 */
public record Members(List<FetchMember> sameRegion, List<FetchMember> otherRegions) {}
