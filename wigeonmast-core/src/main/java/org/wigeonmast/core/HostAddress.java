package org.wigeonmast.core;

/**
 * An IP address with a port.
 * <p>
 * Thread safety: immutable.
 *
 * @param address the IP address in text form
 * @param port the port, 1 to 65535
 */
public record HostAddress(String address, int port) {

	@Override
	public String toString() {
		return this.address + ":" + this.port;
	}

}
