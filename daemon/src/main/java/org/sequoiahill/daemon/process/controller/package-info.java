/**
 * Leases for version swaps and downloads from the origin, granted by the leader of the
 * configuration log.
 */
@NullMarked
package org.sequoiahill.daemon.process.controller;

import org.jspecify.annotations.NullMarked;
