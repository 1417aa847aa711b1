package org.sequoiahill.daemon.version.fetch;

import java.util.List;

/**
 * Agents that serve the same service.
 *
 * @param sameRegion agents of this region including this one, sorted by VM
 * @param otherRegions some agents of other regions
 */
public record Members(List<FetchMember> sameRegion, List<FetchMember> otherRegions) {}
