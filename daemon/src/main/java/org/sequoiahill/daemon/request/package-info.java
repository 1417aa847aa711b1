/** Processing of requests: admission, choice of endpoint, forwarding, refusals. */
@NullMarked
package org.sequoiahill.daemon.request;

import org.jspecify.annotations.NullMarked;
