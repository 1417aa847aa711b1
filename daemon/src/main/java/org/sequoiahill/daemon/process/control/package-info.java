/** Thrift clients and servers between the system's own processes. */
@NullMarked
package org.sequoiahill.daemon.process.control;

import org.jspecify.annotations.NullMarked;
