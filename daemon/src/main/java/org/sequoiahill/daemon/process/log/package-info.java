/** Replicated log in the manner of Raft, which holds the durable state. */
@NullMarked
package org.sequoiahill.daemon.process.log;

import org.jspecify.annotations.NullMarked;
