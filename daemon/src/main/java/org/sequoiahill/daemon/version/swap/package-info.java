/** Swaps the version of the weights that an endpoint serves. */
@NullMarked
package org.sequoiahill.daemon.version.swap;

import org.jspecify.annotations.NullMarked;
