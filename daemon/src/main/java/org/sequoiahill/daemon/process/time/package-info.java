/** Clocks and timers, which are injected so that tests can replace them. */
@NullMarked
package org.sequoiahill.daemon.process.time;

import org.jspecify.annotations.NullMarked;
