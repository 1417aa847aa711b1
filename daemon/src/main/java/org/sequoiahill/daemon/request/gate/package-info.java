/** Limit on the concurrent requests of one endpoint, from its responses and load reports. */
@NullMarked
package org.sequoiahill.daemon.request.gate;

import org.jspecify.annotations.NullMarked;
