/** Plots the results of the users' bench over the entries of its journal. */
@NullMarked
package org.sequoiahill.bench.report;

import org.jspecify.annotations.NullMarked;
