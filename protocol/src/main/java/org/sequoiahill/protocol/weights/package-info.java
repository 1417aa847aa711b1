/** Manifests of model weights and the digests that identify them. */
@NullMarked
package org.sequoiahill.protocol.weights;

import org.jspecify.annotations.NullMarked;
