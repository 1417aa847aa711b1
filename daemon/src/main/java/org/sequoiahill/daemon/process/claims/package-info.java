/** Claims of calls that may run at most once. */
@NullMarked
package org.sequoiahill.daemon.process.claims;

import org.jspecify.annotations.NullMarked;
