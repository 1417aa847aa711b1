/** The load generator shared by the demo, the experiments and the process tests. */
@NullMarked
package org.sequoiahill.bench.load;

import org.jspecify.annotations.NullMarked;
