/**
 * Generated protobuf code of the membership messages.
 */
package org.wigeonmast.membership.internal.protocol;
