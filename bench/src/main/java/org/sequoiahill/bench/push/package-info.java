/**
 * Plays the push of a version to many engines in virtual time, with the rules by which entries and
 * agents pass pieces on, beside the bound that links and turns set.
 */
@NullMarked
package org.sequoiahill.bench.push;

import org.jspecify.annotations.NullMarked;
