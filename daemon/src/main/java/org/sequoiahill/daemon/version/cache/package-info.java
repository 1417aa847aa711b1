/** Keeps checked chunks of weights in a bounded folder on this VM. */
@NullMarked
package org.sequoiahill.daemon.version.cache;

import org.jspecify.annotations.NullMarked;
