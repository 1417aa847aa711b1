/** Parsing and checking of JSON with comments; reports all faults with their places. */
@NullMarked
package org.sequoiahill.protocol.json;

import org.jspecify.annotations.NullMarked;
