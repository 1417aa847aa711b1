/** What the stores agree on for the whole fleet, and how every daemon learns of it. */
@NullMarked
package org.sequoiahill.daemon.process.fleet;

import org.jspecify.annotations.NullMarked;
