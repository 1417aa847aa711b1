/** What lives for one connection: bounded reading of what a peer sends. */
@NullMarked
package org.sequoiahill.daemon.connection;

import org.jspecify.annotations.NullMarked;
