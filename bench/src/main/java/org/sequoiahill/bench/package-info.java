/** Experiments, most of them on running daemons, and the program that runs them. */
@NullMarked
package org.sequoiahill.bench;

import org.jspecify.annotations.NullMarked;
