/**
 * Benches of policy, detection, fleet and request path.
 */
@NullMarked
package org.wigeonmast.bench;

import org.jspecify.annotations.NullMarked;
