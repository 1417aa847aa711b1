/** Decides which queued request is sent next, and which are refused. */
@NullMarked
package org.sequoiahill.daemon.request.admission;

import org.jspecify.annotations.NullMarked;
