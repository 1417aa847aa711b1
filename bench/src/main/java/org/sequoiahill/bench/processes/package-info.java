/** Starts and stops real daemons and stand-ins as processes, and injects process faults. */
@NullMarked
package org.sequoiahill.bench.processes;

import org.jspecify.annotations.NullMarked;
