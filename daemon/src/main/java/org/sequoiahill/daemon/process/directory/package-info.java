/**
 * Endpoints known by announcements of their agents, and summaries of other data centres; used by
 * daemons whose settings contain the addresses of the others.
 */
@NullMarked
package org.sequoiahill.daemon.process.directory;

import org.jspecify.annotations.NullMarked;
