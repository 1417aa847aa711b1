/** Settings of the daemon, read and checked whole at start. */
@NullMarked
package org.sequoiahill.daemon.process.settings;

import org.jspecify.annotations.NullMarked;
