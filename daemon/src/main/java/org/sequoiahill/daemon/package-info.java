/** The daemon's program. */
@NullMarked
package org.sequoiahill.daemon;

import org.jspecify.annotations.NullMarked;
