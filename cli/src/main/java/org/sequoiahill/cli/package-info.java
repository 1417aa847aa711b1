/** The operators' command-line tool. */
@NullMarked
package org.sequoiahill.cli;

import org.jspecify.annotations.NullMarked;
