/** How the loads of engines reach the entries that place requests by them. */
@NullMarked
package org.sequoiahill.daemon.request.load;

import org.jspecify.annotations.NullMarked;
