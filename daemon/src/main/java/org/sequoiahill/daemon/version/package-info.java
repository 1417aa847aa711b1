/** What lives for one version of weights: fetching, checking, swapping. */
@NullMarked
package org.sequoiahill.daemon.version;

import org.jspecify.annotations.NullMarked;
