package org.sequoiahill.daemon.version.fetch;

import java.time.Duration;

/**
 * One try to draw one chunk from one source.
 *
 * @param id unique within a plan
 * @param chunk index of the chunk in its manifest
 * @param source where it is drawn from
 * @param redirects how often peers have sent the chunk's asker on before
 * @param startedAt when it began
 */
public record FetchAttempt(long id, int chunk, Source source, int redirects, Duration startedAt) {}
