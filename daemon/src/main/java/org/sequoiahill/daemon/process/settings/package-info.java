/** Settings of the daemon, read and checked at start; seeds may be reloaded later. */
@NullMarked
package org.sequoiahill.daemon.process.settings;

import org.jspecify.annotations.NullMarked;
