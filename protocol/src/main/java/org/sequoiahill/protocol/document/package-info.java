/** Configuration documents that operators maintain, one per service and one per data centre. */
@NullMarked
package org.sequoiahill.protocol.document;

import org.jspecify.annotations.NullMarked;
