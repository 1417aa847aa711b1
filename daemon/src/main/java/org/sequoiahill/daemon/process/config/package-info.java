/** The configuration: committed documents and their propagation. */
@NullMarked
package org.sequoiahill.daemon.process.config;

import org.jspecify.annotations.NullMarked;
