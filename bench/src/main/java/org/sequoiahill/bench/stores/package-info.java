/** Experiments with the stores of the replicated logs: latency, recovery and faults. */
@NullMarked
package org.sequoiahill.bench.stores;

import org.jspecify.annotations.NullMarked;
