/** Slopes of processor time, memory and bytes, and the page of capacity worked out from them. */
@NullMarked
package org.sequoiahill.bench.capacity;

import org.jspecify.annotations.NullMarked;
