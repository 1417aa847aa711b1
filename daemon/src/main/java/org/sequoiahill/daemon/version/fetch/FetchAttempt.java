package org.sequoiahill.daemon.version.fetch;

import java.time.Duration;

/**
 * One attempt to fetch a chunk from a source.
 *
 * @param id unique within a planner
 * @param chunk index of the chunk in its manifest
 * @param source where it is fetched from
 * @param redirects how often peers have redirected this agent's requests for the chunk before
 * @param startedAt when the attempt started
 */
public record FetchAttempt(long id, int chunk, Source source, int redirects, Duration startedAt) {}
