/**
 * Requests that run at most once: claims in a replicated registry, attempts recorded and barred by
 * agents, and recovery of lost outcomes.
 */
@NullMarked
package org.sequoiahill.daemon.request.once;

import org.jspecify.annotations.NullMarked;
