/**
 * Measures how CPU time, memory and control bytes grow with size. From the measured fits it derives
 * the capacity page, a Markdown table of each role's usage at the target size and its limits.
 */
@NullMarked
package org.sequoiahill.bench.capacity;

import org.jspecify.annotations.NullMarked;
