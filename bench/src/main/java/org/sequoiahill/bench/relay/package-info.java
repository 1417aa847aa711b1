/** A TCP relay that delays, shapes, cuts or silences what passes. */
@NullMarked
package org.sequoiahill.bench.relay;

import org.jspecify.annotations.NullMarked;
