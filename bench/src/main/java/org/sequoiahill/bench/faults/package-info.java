/** Failures of real processes under load, judged by the responses and the ledger's own record. */
@NullMarked
package org.sequoiahill.bench.faults;

import org.jspecify.annotations.NullMarked;
