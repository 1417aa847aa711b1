/** Calls that run at most once: claims, attempts that agents bar, and what became of lost calls. */
@NullMarked
package org.sequoiahill.daemon.request.once;

import org.jspecify.annotations.NullMarked;
