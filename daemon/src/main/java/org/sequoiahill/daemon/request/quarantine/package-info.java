/** Suspects, which are requests in flight when an endpoint died, and their quarantine. */
@NullMarked
package org.sequoiahill.daemon.request.quarantine;

import org.jspecify.annotations.NullMarked;
