/** How fast configuration is committed and in force, and what it costs. */
@NullMarked
package org.sequoiahill.bench.config;

import org.jspecify.annotations.NullMarked;
