/** Rate, latency and memory of the claims of calls that may run at most once. */
@NullMarked
package org.sequoiahill.bench.claims;

import org.jspecify.annotations.NullMarked;
