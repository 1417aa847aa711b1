/** Load and experiments on running daemons. */
@NullMarked
package org.sequoiahill.bench;

import org.jspecify.annotations.NullMarked;
