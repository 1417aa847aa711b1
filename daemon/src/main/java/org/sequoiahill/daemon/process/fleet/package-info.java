/** State of the fleet that the stores agree on, and its propagation to every daemon. */
@NullMarked
package org.sequoiahill.daemon.process.fleet;

import org.jspecify.annotations.NullMarked;
