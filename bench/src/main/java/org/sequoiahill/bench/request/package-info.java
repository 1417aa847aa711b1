/** Experiments on admission, routing and draining, with stand-in engines in this process. */
@NullMarked
package org.sequoiahill.bench.request;

import org.jspecify.annotations.NullMarked;
