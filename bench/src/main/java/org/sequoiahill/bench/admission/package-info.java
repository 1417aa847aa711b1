/**
 * Plays loads on model engines in virtual time, with the entries' own dispatchers, and computes
 * what a scheduler with full knowledge would have earned on the same requests.
 */
@NullMarked
package org.sequoiahill.bench.admission;

import org.jspecify.annotations.NullMarked;
