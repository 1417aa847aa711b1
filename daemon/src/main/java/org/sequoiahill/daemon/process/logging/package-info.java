/** Log lines in JSON. */
@NullMarked
package org.sequoiahill.daemon.process.logging;

import org.jspecify.annotations.NullMarked;
