/** The operators' HTTP API, health and metrics. */
@NullMarked
package org.sequoiahill.daemon.process.admin;

import org.jspecify.annotations.NullMarked;
