/** What the daemon, its command-line tool and the stand-ins share: documents and messages. */
@NullMarked
package org.sequoiahill.protocol;

import org.jspecify.annotations.NullMarked;
