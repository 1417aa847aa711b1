/** Experiments on calls that run once and on slow readers. */
@NullMarked
package org.sequoiahill.bench.calls;

import org.jspecify.annotations.NullMarked;
