/** Self-registration of endpoints: the registry at each store and its merged copies at daemons. */
@NullMarked
package org.sequoiahill.daemon.process.endpoints;

import org.jspecify.annotations.NullMarked;
