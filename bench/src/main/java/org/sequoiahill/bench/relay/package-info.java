/** A TCP relay that injects network faults. */
@NullMarked
package org.sequoiahill.bench.relay;

import org.jspecify.annotations.NullMarked;
