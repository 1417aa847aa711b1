/**
 * State of a fleet, whose daemons discover each other through seeds: what the stores agree on, and
 * its propagation to every daemon.
 */
@NullMarked
package org.sequoiahill.daemon.process.fleet;

import org.jspecify.annotations.NullMarked;
