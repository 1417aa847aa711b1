/** Experiments with the stores of the replicated logs: their times, and their failures. */
@NullMarked
package org.sequoiahill.bench.stores;

import org.jspecify.annotations.NullMarked;
