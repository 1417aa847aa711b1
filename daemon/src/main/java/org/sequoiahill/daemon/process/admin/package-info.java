/** Operators' calls, health and metrics over HTTP. */
@NullMarked
package org.sequoiahill.daemon.process.admin;

import org.jspecify.annotations.NullMarked;
