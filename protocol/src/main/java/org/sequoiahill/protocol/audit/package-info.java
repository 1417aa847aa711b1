/** The hash chain of the audit trail, for writing and for verifying it. */
@NullMarked
package org.sequoiahill.protocol.audit;

import org.jspecify.annotations.NullMarked;
