/** Endpoints that register themselves: what stores hold of them, and what entries make of it. */
@NullMarked
package org.sequoiahill.daemon.process.endpoints;

import org.jspecify.annotations.NullMarked;
