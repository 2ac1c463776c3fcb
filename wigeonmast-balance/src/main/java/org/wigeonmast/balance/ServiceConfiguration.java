package org.wigeonmast.balance;

import org.wigeonmast.core.ServiceName;

/**
 * The configuration of a service.
 * <p>
 * Thread safety: immutable.
 *
 * @param name the name of the service
 * @param connections the number of connections that each backend server accepts from the
 * whole fleet
 */
public record ServiceConfiguration(ServiceName name, int connections) {
}
