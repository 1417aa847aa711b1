/** Plots what the days of the users' bench were worth, over the entries of its journal. */
@NullMarked
package org.sequoiahill.bench.report;

import org.jspecify.annotations.NullMarked;
