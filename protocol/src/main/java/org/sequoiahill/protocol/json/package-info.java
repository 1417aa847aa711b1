/** Checked reading of JSON with comments, with every fault reported at its place. */
@NullMarked
package org.sequoiahill.protocol.json;

import org.jspecify.annotations.NullMarked;
