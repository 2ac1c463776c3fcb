/**
 * Protobuf messages about shares of limits, generated from {@code limit.proto}.
 */
package org.wigeonmast.limit.internal.protocol;
