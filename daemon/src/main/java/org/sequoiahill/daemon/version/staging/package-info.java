/**
 * Stages a new model version piece by piece at each engine, and has the engines load it in groups.
 */
@NullMarked
package org.sequoiahill.daemon.version.staging;

import org.jspecify.annotations.NullMarked;
