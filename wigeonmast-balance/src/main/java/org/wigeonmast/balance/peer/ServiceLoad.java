package org.wigeonmast.balance.peer;

import org.wigeonmast.core.ServiceName;

/**
 * How many requests of a service a daemon gets.
 * <p>
 * Thread safety: immutable.
 *
 * @param service the service
 * @param perSecond the requests of callers in a second
 */
public record ServiceLoad(ServiceName service, double perSecond) {
}
