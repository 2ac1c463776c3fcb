package org.wigeonmast.cli.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.wigeonmast.admin.DaemonStatus;
import org.wigeonmast.cli.CommandException;
import org.wigeonmast.cli.ExitStatus;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Step;

/**
 * Client that queries several daemons.
 * <p>
 * Thread safety: none; one thread uses it. Invariant: daemons are queried in parallel,
 * and a daemon that does not respond does not affect the responses of the others.
 */
public final class FleetClient {

	private static final int MAX_PARALLEL_CALLS = 32;

	private static final String DEAD = "DEAD";

	private final AdminClient client = new AdminClient();

	private final List<HostAddress> admins;

	private final List<CommandException> failures = new ArrayList<>();

	/**
	 * Creates a client.
	 * @param admins the admin addresses of the daemons; if there is only one,
	 * {@link #queryAll} discovers the other daemons from its status
	 */
	public FleetClient(List<HostAddress> admins) {
		this.admins = List.copyOf(admins);
	}

	/**
	 * Returns the failed queries.
	 * @return the failures so far
	 */
	public List<CommandException> failures() {
		return List.copyOf(this.failures);
	}

	/**
	 * Queries the given daemons, without discovery of others.
	 * @param query the query
	 * @param <T> the type of the response
	 * @return the responses by admin address
	 * @throws CommandException if no daemon responds
	 * @throws InterruptedException if the thread is interrupted
	 */
	public <T> Map<HostAddress, T> queryNamed(DaemonQuery<T> query) throws CommandException, InterruptedException {
		return query(this.admins, query);
	}

	/**
	 * Queries all daemons, including those that are discovered from the status of a
	 * single given one.
	 * @param query the query
	 * @param <T> the type of the response
	 * @return the responses by admin address
	 * @throws CommandException if no daemon responds
	 * @throws InterruptedException if the thread is interrupted
	 */
	public <T> Map<HostAddress, T> queryAll(DaemonQuery<T> query) throws CommandException, InterruptedException {
		if (this.admins.size() != 1) {
			return query(this.admins, query);
		}
		HostAddress givenAdmin = this.admins.getFirst();
		Set<HostAddress> targets = new LinkedHashSet<>(this.admins);
		DaemonStatus status = this.client.fetchStatus(givenAdmin);
		for (DaemonStatus.MemberEntry member : status.members()) {
			int colon = member.address().lastIndexOf(':');
			if (colon > 0 && !member.status().equals(DEAD) && !member.daemon().equals(status.daemon())) {
				targets.add(new HostAddress(member.address().substring(0, colon), givenAdmin.port()));
			}
		}
		return query(List.copyOf(targets), query);
	}

	private <T> Map<HostAddress, T> query(List<HostAddress> targets, DaemonQuery<T> query)
			throws CommandException, InterruptedException {
		Map<HostAddress, T> responses = new LinkedHashMap<>();
		try (ExecutorService executor = Executors
			.newFixedThreadPool(Math.clamp(targets.size(), 1, MAX_PARALLEL_CALLS))) {
			Map<HostAddress, Future<T>> futures = new LinkedHashMap<>();
			targets.forEach((admin) -> futures.put(admin, executor.submit(() -> query.execute(this.client, admin))));
			for (Map.Entry<HostAddress, Future<T>> entry : futures.entrySet()) {
				try {
					responses.put(entry.getKey(), entry.getValue().get());
				}
				catch (ExecutionException exception) {
					this.failures.add(toCommandException(entry.getKey(), exception.getCause()));
				}
			}
		}
		if (responses.isEmpty()) {
			throw this.failures.getFirst();
		}
		return responses;
	}

	private static CommandException toCommandException(HostAddress admin, Throwable cause) {
		return (cause instanceof CommandException exception) ? exception : new CommandException(ExitStatus.SOFTWARE,
				Step.ADMIN, admin.toString(), "defect: " + cause + "; report it", cause);
	}

	/**
	 * A query to one daemon.
	 *
	 * @param <T> the type of the response
	 */
	@FunctionalInterface
	public interface DaemonQuery<T> {

		/**
		 * Queries a daemon.
		 * @param client the client
		 * @param admin the daemon's admin address
		 * @return the response
		 * @throws CommandException if the daemon does not respond or the response is
		 * invalid
		 */
		T execute(AdminClient client, HostAddress admin) throws CommandException;

	}

}
