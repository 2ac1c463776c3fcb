/**
 * Protobuf messages of dispatch, generated from {@code dispatch.proto}.
 */
package org.wigeonmast.dispatch.internal.protocol;
