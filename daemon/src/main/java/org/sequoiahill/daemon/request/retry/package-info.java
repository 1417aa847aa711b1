/** Whether a request that has failed is sent again. */
@NullMarked
package org.sequoiahill.daemon.request.retry;

import org.jspecify.annotations.NullMarked;
