/** Experiments on overload, cold engines and draining, with engines that run in this process. */
@NullMarked
package org.sequoiahill.bench.request;

import org.jspecify.annotations.NullMarked;
