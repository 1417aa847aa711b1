/** Fetches the chunks of a version of weights from other agents and from the origin. */
@NullMarked
package org.sequoiahill.daemon.version.fetch;

import org.jspecify.annotations.NullMarked;
