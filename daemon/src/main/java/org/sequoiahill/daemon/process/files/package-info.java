/** Files that count only once they are synced. */
@NullMarked
package org.sequoiahill.daemon.process.files;

import org.jspecify.annotations.NullMarked;
