/**
 * Protobuf messages of limit, generated from {@code limit.proto}.
 */
package org.wigeonmast.limit.internal.protocol;
