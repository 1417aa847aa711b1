/** The audit trail's chain of hashes, for those who write it and those who check it. */
@NullMarked
package org.sequoiahill.protocol.audit;

import org.jspecify.annotations.NullMarked;
