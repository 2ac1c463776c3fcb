/**
 * Fleet membership by gossip, and failure detection between daemons.
 */
@NullMarked
package org.wigeonmast.membership;

import org.jspecify.annotations.NullMarked;
