/** Who of the waiting requests is next, and who is refused. */
@NullMarked
package org.sequoiahill.daemon.request.admission;

import org.jspecify.annotations.NullMarked;
