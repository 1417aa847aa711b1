/** Requests that an entry sends straight to endpoints that register themselves. */
@NullMarked
package org.sequoiahill.daemon.request.direct;

import org.jspecify.annotations.NullMarked;
