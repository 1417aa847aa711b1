/**
 * Stand-ins for what surrounds the system: the origin of weights, model engines, plain services.
 */
@NullMarked
package org.sequoiahill.examples;

import org.jspecify.annotations.NullMarked;
