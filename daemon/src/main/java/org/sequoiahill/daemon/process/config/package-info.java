/** The configuration: committed documents and how they spread. */
@NullMarked
package org.sequoiahill.daemon.process.config;

import org.jspecify.annotations.NullMarked;
