/** The replicated log that holds the durable state. */
@NullMarked
package org.sequoiahill.daemon.process.log;

import org.jspecify.annotations.NullMarked;
