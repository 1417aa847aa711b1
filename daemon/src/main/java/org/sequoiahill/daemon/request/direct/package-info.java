/** Request path of an entry that sends straight to endpoints, which register themselves. */
@NullMarked
package org.sequoiahill.daemon.request.direct;

import org.jspecify.annotations.NullMarked;
