/** Measures how CPU time, memory and control bytes grow with size, for the capacity page. */
@NullMarked
package org.sequoiahill.bench.capacity;

import org.jspecify.annotations.NullMarked;
