/**
 * Self-registration of endpoints and daemons: the registry at each store and its merged copies at
 * daemons; used by daemons that discover the others through seeds.
 */
@NullMarked
package org.sequoiahill.daemon.process.endpoints;

import org.jspecify.annotations.NullMarked;
