/** Starting, stopping and disturbing real daemons and stand-ins as processes. */
@NullMarked
package org.sequoiahill.bench.processes;

import org.jspecify.annotations.NullMarked;
