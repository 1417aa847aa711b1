/** Measures how fast and at what cost a version of weights reaches many agents. */
@NullMarked
package org.sequoiahill.bench.weights;

import org.jspecify.annotations.NullMarked;
