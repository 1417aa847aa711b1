/** Endpoints known by announcements, and summaries of other data centres. */
@NullMarked
package org.sequoiahill.daemon.process.directory;

import org.jspecify.annotations.NullMarked;
