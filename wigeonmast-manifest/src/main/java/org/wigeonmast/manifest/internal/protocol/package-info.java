/**
 * Generated protobuf code of the manifest messages.
 */
package org.wigeonmast.manifest.internal.protocol;
