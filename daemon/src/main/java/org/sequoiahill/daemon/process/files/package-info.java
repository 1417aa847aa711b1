/** Durable replacement of files. */
@NullMarked
package org.sequoiahill.daemon.process.files;

import org.jspecify.annotations.NullMarked;
