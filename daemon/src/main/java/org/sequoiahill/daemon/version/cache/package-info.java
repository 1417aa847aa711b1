/** Stores verified chunks of weights on this VM's disk, up to a maximum size. */
@NullMarked
package org.sequoiahill.daemon.version.cache;

import org.jspecify.annotations.NullMarked;
