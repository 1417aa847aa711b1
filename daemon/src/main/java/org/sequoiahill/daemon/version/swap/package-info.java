/** Brings one endpoint from one version of weights to another. */
@NullMarked
package org.sequoiahill.daemon.version.swap;

import org.jspecify.annotations.NullMarked;
