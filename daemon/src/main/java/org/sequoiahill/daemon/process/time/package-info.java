/** Clocks that are passed in. */
@NullMarked
package org.sequoiahill.daemon.process.time;

import org.jspecify.annotations.NullMarked;
