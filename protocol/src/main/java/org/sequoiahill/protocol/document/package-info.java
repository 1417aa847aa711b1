/** The documents that operators own: one a service, and one a data centre. */
@NullMarked
package org.sequoiahill.protocol.document;

import org.jspecify.annotations.NullMarked;
