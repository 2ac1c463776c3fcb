package org.wigeonmast.balance.peer;

import org.wigeonmast.core.ServiceName;

/**
 * The load of a daemon by one service.
 * <p>
 * Thread safety: immutable.
 *
 * @param service the service
 * @param perSecond the requests of callers per second
 */
public record ServiceLoad(ServiceName service, double perSecond) {
}
