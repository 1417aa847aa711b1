/** How fast calls that may run once are claimed, and what the claims cost. */
@NullMarked
package org.sequoiahill.bench.claims;

import org.jspecify.annotations.NullMarked;
