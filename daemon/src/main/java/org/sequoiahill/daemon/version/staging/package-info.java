/** Versions that are staged piece by piece at an engine beside the agent, and loaded by turns. */
@NullMarked
package org.sequoiahill.daemon.version.staging;

import org.jspecify.annotations.NullMarked;
