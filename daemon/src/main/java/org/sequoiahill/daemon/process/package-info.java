/** The daemon process: its roles, their wiring, startup and shutdown. */
@NullMarked
package org.sequoiahill.daemon.process;

import org.jspecify.annotations.NullMarked;
