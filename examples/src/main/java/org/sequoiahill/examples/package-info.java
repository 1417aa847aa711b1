/**
 * Stand-ins for the systems around the product: the origin of weights, model engines and plain
 * services.
 */
@NullMarked
package org.sequoiahill.examples;

import org.jspecify.annotations.NullMarked;
