package org.wigeonmast.wire;

/**
 * Counts of the traffic on the links of one daemon since its start.
 * <p>
 * Thread safety: immutable.
 *
 * @param messagesSent the messages handed to links
 * @param bytesSent the bytes of their content
 * @param messagesReceived the messages received
 * @param bytesReceived the bytes of their content
 */
public record LinkCounts(long messagesSent, long bytesSent, long messagesReceived, long bytesReceived) {
}
