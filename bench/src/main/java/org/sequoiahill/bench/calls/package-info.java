/** Experiments with at-most-once calls and with slow readers. */
@NullMarked
package org.sequoiahill.bench.calls;

import org.jspecify.annotations.NullMarked;
