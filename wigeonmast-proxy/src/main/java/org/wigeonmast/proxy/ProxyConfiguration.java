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
 * @param callerConnections the maximum number of connections of callers; further ones are
 * closed at once
 * @param limits the limits on messages
 * @param timeouts the timeouts
 * @param headers the names of header fields
 */
public record ProxyConfiguration(HostAddress bindAddress, String daemonName, int callerConnections, Limits limits,
		Timeouts timeouts, HeaderConventions headers) {

	private static final int DEFAULT_CALLER_CONNECTIONS = 10_000;

	/**
	 * Creates a configuration with the default header conventions.
	 * @param bindAddress where callers connect
	 * @param daemonName the name of the daemon
	 * @param callerConnections the maximum number of connections of callers
	 * @param limits the limits on messages
	 * @param timeouts the timeouts
	 */
	public ProxyConfiguration(HostAddress bindAddress, String daemonName, int callerConnections, Limits limits,
			Timeouts timeouts) {
		this(bindAddress, daemonName, callerConnections, limits, timeouts, HeaderConventions.DEFAULTS);
	}

	/**
	 * Returns the default configuration.
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
	 * @param requestLine the maximum length of a request line or status line
	 * @param headers the maximum total size of the header fields of a message
	 * @param body the maximum size of a request body
	 * @param replayableBody the maximum size of a request body that is buffered in memory
	 * @param replayableBodyMemory the total memory for buffered request bodies; when it
	 * is exhausted, bodies are streamed and not replayable
	 * @param unsentBytes the number of unsent bytes of one connection above which reading
	 * from the other side pauses
	 * @param heldResponse the maximum size of a response body that is buffered as a whole
	 * before any of it is relayed, so that a truncated response can be replaced; 0 relays
	 * each part at once
	 * @param heldResponseMemory the total memory for buffered response bodies; when it is
	 * exhausted, responses are relayed part by part
	 */
	public record Limits(int requestLine, int headers, long body, int replayableBody, long replayableBodyMemory,
			int unsentBytes, int heldResponse, long heldResponseMemory) {

		/**
		 * Creates limits without buffering of responses.
		 * @param requestLine the maximum length of a request line or status line
		 * @param headers the maximum total size of the header fields of a message
		 * @param body the maximum size of a request body
		 * @param replayableBody the maximum size of a request body that is buffered in
		 * memory
		 * @param replayableBodyMemory the total memory for buffered request bodies
		 * @param unsentBytes the number of unsent bytes of one connection above which
		 * reading from the other side pauses
		 */
		public Limits(int requestLine, int headers, long body, int replayableBody, long replayableBodyMemory,
				int unsentBytes) {
			this(requestLine, headers, body, replayableBody, replayableBodyMemory, unsentBytes, 0, 0);
		}

		/** The default limits. */
		public static final Limits DEFAULTS = new Limits(8 * 1024, 16 * 1024, 1024L * 1024 * 1024, 64 * 1024,
				32L * 1024 * 1024, 64 * 1024, 0, 0);

	}

	/**
	 * Timeouts in milliseconds.
	 *
	 * @param head the time from the first byte of a request head to its last
	 * @param body the time to wait for the next byte of a request body
	 * @param keepAlive the time that a caller's connection may be idle
	 * @param request the upper limit of the time for a whole request
	 * @param connect the time for connecting to a backend server
	 * @param backendIdle the time after which an idle connection to a backend server is
	 * closed
	 * @param proven the time since its last complete response during which an idle
	 * connection counts as proven alive
	 * @param drainIdle the time during a drain after which an idle connection of a caller
	 * is closed
	 * @param retryAfter the recommended wait for callers while no manifest is in force
	 */
	public record Timeouts(long head, long body, long keepAlive, long request, long connect, long backendIdle,
			long proven, long drainIdle, long retryAfter) {

		/** The default timeouts. */
		public static final Timeouts DEFAULTS = new Timeouts(10_000, 10_000, 60_000, 300_000, 1000, 30_000, 1000, 5000,
				1000);

	}

}
