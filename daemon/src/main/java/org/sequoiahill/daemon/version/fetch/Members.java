package org.sequoiahill.daemon.version.fetch;

import java.util.List;

/**
 * This agent, and the agents of its service that chunks may be requested from.
 *
 * @param sameDataCentre agents of this data centre including this one, sorted by VM
 * @param otherDataCentres some agents of other data centres
 */
public record Members(List<FetchMember> sameDataCentre, List<FetchMember> otherDataCentres) {}
