/** How much work one endpoint is given: its limit, and what its engine reports. */
@NullMarked
package org.sequoiahill.daemon.request.gate;

import org.jspecify.annotations.NullMarked;
