/** Failures of real processes under load, with the verdict of the stand-ins' own records. */
@NullMarked
package org.sequoiahill.bench.faults;

import org.jspecify.annotations.NullMarked;
