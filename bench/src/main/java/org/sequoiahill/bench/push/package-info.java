/**
 * Simulates the push of a version to many engines in virtual time, with the rules by which entries
 * and agents distribute pieces, and compares it with the lower bound that links and the swap
 * schedule set.
 */
@NullMarked
package org.sequoiahill.bench.push;

import org.jspecify.annotations.NullMarked;
