/**
 * Simulates loads on model engines in virtual time with the entries' own dispatchers, and compares
 * them with a scheduler that has full knowledge and serves the same requests.
 */
@NullMarked
package org.sequoiahill.bench.admission;

import org.jspecify.annotations.NullMarked;
