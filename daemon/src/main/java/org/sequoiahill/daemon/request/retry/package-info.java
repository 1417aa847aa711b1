/** Decides whether a failed request is retried. */
@NullMarked
package org.sequoiahill.daemon.request.retry;

import org.jspecify.annotations.NullMarked;
