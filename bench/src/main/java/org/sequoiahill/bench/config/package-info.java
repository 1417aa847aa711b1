/** Time until configuration changes are committed and in force, and their cost in bytes. */
@NullMarked
package org.sequoiahill.bench.config;

import org.jspecify.annotations.NullMarked;
