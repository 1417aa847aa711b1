/** Connections: HTTP clients, bounded reading of bodies, and detection of dead connections. */
@NullMarked
package org.sequoiahill.daemon.connection;

import org.jspecify.annotations.NullMarked;
