package org.wigeonmast.wire;

/**
 * Traffic counters of the links of one daemon since its start.
 * <p>
 * Thread safety: immutable.
 *
 * @param messagesSent the messages passed to links, including those dropped later
 * @param bytesSent the size of their content
 * @param messagesReceived the messages received
 * @param bytesReceived the size of their content
 */
public record LinkCounts(long messagesSent, long bytesSent, long messagesReceived, long bytesReceived) {
}
