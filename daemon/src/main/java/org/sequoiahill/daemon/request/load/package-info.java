/** Relays the loads of engines to the entries, which select endpoints by them. */
@NullMarked
package org.sequoiahill.daemon.request.load;

import org.jspecify.annotations.NullMarked;
