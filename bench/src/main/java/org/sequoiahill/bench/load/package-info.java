/** The load generator that demo, experiments and process tests share. */
@NullMarked
package org.sequoiahill.bench.load;

import org.jspecify.annotations.NullMarked;
