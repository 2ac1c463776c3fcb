package org.wigeonmast.proxy;

import org.wigeonmast.core.HostAddress;

/**
 * Addresses, limits and timeouts of a proxy.
 * <p>
 * Thread safety: immutable. Sizes are in bytes and times in milliseconds. Start from
 * {@link #defaults(HostAddress)}.
 *
 * @param bindAddress where callers connect; port 0 lets the operating system choose one
 * @param daemonName the name of the daemon, which appears in the Via header
 * @param callerConnections the greatest number of connections of callers; further ones
 * are closed at once
 * @param limits the limits on messages
 * @param timeouts the timeouts
 * @param headers the names of header fields
 */
public record ProxyConfiguration(HostAddress bindAddress, String daemonName, int callerConnections, Limits limits,
		Timeouts timeouts, HeaderConventions headers) {

	private static final int DEFAULT_CALLER_CONNECTIONS = 10_000;

	/**
	 * Creates a configuration with the product's own names of header fields.
	 * @param bindAddress where callers connect
	 * @param daemonName the name of the daemon
	 * @param callerConnections the greatest number of connections of callers
	 * @param limits the limits on messages
	 * @param timeouts the timeouts
	 */
	public ProxyConfiguration(HostAddress bindAddress, String daemonName, int callerConnections, Limits limits,
			Timeouts timeouts) {
		this(bindAddress, daemonName, callerConnections, limits, timeouts, HeaderConventions.DEFAULTS);
	}

	/**
	 * Returns the configuration that needs no tuning.
	 * @param bindAddress where callers connect
	 * @return the configuration
	 */
	public static ProxyConfiguration defaults(HostAddress bindAddress) {
		return new ProxyConfiguration(bindAddress, "wigeonmast", DEFAULT_CALLER_CONNECTIONS, Limits.DEFAULTS,
				Timeouts.DEFAULTS);
	}

	/**
	 * Limits on the messages of callers and backend servers, in bytes.
	 *
	 * @param requestLine the longest request line or status line
	 * @param headers the greatest size of all header fields of a message
	 * @param body the largest request body
	 * @param replayableBody the largest request body that is held in memory
	 * @param replayableBodyMemory the memory for held request bodies of all requests;
	 * when it is used up, bodies are streamed and not replayable
	 * @param unsentBytes the bytes waiting in one connection above which the other side
	 * is not read
	 * @param heldResponse the largest response body that is received as a whole before
	 * any of it is relayed, so that a response that breaks off can be replaced; 0 relays
	 * each piece at once
	 */
	public record Limits(int requestLine, int headers, long body, int replayableBody, long replayableBodyMemory,
			int unsentBytes, int heldResponse) {

		/**
		 * Creates limits that relay each piece of a response at once.
		 * @param requestLine the longest request line or status line
		 * @param headers the greatest size of all header fields of a message
		 * @param body the largest request body
		 * @param replayableBody the largest request body that is held in memory
		 * @param replayableBodies the memory for held request bodies of all requests
		 * @param unsentBytes the bytes waiting in one connection above which the other
		 * side is not read
		 */
		public Limits(int requestLine, int headers, long body, int replayableBody, long replayableBodies,
				int unsentBytes) {
			this(requestLine, headers, body, replayableBody, replayableBodies, unsentBytes, 0);
		}

		/** The limits that need no tuning. */
		public static final Limits DEFAULTS = new Limits(8 * 1024, 16 * 1024, 1024L * 1024 * 1024, 64 * 1024,
				32L * 1024 * 1024, 64 * 1024, 0);

	}

	/**
	 * Timeouts in milliseconds.
	 *
	 * @param head the time from the first byte of a request head to its last
	 * @param body the time without any byte of a request body that the proxy waits for
	 * @param keepAlive the time that a caller's connection may be idle
	 * @param request the cap on the time for a whole request
	 * @param connect the time for connecting to a backend server
	 * @param backendIdle the age at which an idle connection to a backend server is
	 * closed
	 * @param proven the time since its last complete response during which an idle
	 * connection counts as proven alive
	 * @param drainIdle the time during a drain after which an idle connection of a caller
	 * is closed
	 * @param retryAfter the advised wait while no manifest is in force
	 */
	public record Timeouts(long head, long body, long keepAlive, long request, long connect, long backendIdle,
			long proven, long drainIdle, long retryAfter) {

		/** The timeouts that need no tuning. */
		public static final Timeouts DEFAULTS = new Timeouts(10_000, 10_000, 60_000, 300_000, 1000, 30_000, 1000, 5000,
				1000);

	}

}
