/** Streams of tokens to callers: bounded buffers, parking of slow readers' streams, resumption. */
@NullMarked
package org.sequoiahill.daemon.request.stream;

import org.jspecify.annotations.NullMarked;
