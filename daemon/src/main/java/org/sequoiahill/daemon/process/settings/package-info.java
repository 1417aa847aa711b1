/** Settings of the daemon, all of which are read and checked at start. */
@NullMarked
package org.sequoiahill.daemon.process.settings;

import org.jspecify.annotations.NullMarked;
