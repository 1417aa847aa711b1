/** Requests that were in flight when endpoints died: suspects, and their quarantine. */
@NullMarked
package org.sequoiahill.daemon.request.quarantine;

import org.jspecify.annotations.NullMarked;
