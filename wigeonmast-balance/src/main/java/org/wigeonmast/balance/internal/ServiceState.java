package org.wigeonmast.balance.internal;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.balance.BalanceSettings;
import org.wigeonmast.core.BackendServerId;

/**
 * The servers of a service, its load and its retry budget.
 * <p>
 * Thread safety: none.
 */
public final class ServiceState {

	private final Map<BackendServerId, ServerState> servers = new LinkedHashMap<>();

	/** Time constant in milliseconds of the exponentially decaying count of requests. */
	private static final double LOAD_DECAY_MS = 4000;

	private final RetryBudgetShare retryBudget;

	private final RecentFailures recentFailures = new RecentFailures();

	private final DurationStatistics durations = new DurationStatistics();

	private double arrivals;

	private long arrivalsAt;

	/**
	 * Creates the state of a service without servers.
	 * @param settings the settings
	 * @param daemons the number of live daemons
	 */
	public ServiceState(BalanceSettings settings, int daemons) {
		this.retryBudget = new RetryBudgetShare(settings, daemons);
	}

	/**
	 * Records a request of a caller.
	 * @param now the current monotonic time in milliseconds
	 */
	public void recordRequest(long now) {
		this.retryBudget.recordRequest();
		this.arrivals = arrivals(now) + 1;
		this.arrivalsAt = now;
	}

	/**
	 * Records the duration of an answered request.
	 * @param milliseconds the duration in milliseconds
	 */
	public void recordDuration(long milliseconds) {
		this.durations.record(milliseconds);
	}

	/**
	 * Returns the average duration of recent requests.
	 * @return the average duration in milliseconds
	 */
	public double averageDurationMs() {
		return this.durations.averageMs();
	}

	/**
	 * Returns the time after which an unanswered request counts as overdue.
	 * @return the time in milliseconds
	 */
	public long overdueAfterMs() {
		return this.durations.overdueAfterMs();
	}

	/**
	 * Returns the rate of requests of callers at this daemon.
	 * @param now the current monotonic time in milliseconds
	 * @return the rate in requests per millisecond
	 */
	public double requestsPerMs(long now) {
		return arrivals(now) / LOAD_DECAY_MS;
	}

	private double arrivals(long now) {
		return this.arrivals * Math.exp((this.arrivalsAt - now) / LOAD_DECAY_MS);
	}

	RecentFailures recentFailures() {
		return this.recentFailures;
	}

	public RetryBudgetShare retryBudget() {
		return this.retryBudget;
	}

	public Collection<ServerState> servers() {
		return this.servers.values();
	}

	public @Nullable ServerState server(BackendServerId id) {
		return this.servers.get(id);
	}

	/**
	 * Adds a server, which replaces an earlier start of the same server.
	 * @param server the server
	 */
	public void putServer(ServerState server) {
		this.servers.put(server.record().id(), server);
	}

	/**
	 * Removes a server.
	 * @param id the identifier
	 */
	public void removeServer(BackendServerId id) {
		this.servers.remove(id);
	}

}
