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
 * The daemons that a command asks.
 * <p>
 * Thread safety: none; one thread uses it. Invariant: all daemons are asked at the same
 * time, and one that does not answer hides no other.
 */
public final class FleetClient {

	private static final int MAX_PARALLEL_CALLS = 32;

	private static final String DEAD = "DEAD";

	private final AdminClient client = new AdminClient();

	private final List<HostAddress> admins;

	private final List<CommandException> failures = new ArrayList<>();

	/**
	 * Creates a fleet.
	 * @param admins the operators' addresses; if it is only one, the other daemons are
	 * found from its status
	 */
	public FleetClient(List<HostAddress> admins) {
		this.admins = List.copyOf(admins);
	}

	/**
	 * Returns why daemons did not answer.
	 * @return the failures so far
	 */
	public List<CommandException> failures() {
		return List.copyOf(this.failures);
	}

	/**
	 * Asks the daemons that were named, without finding others.
	 * @param question the question
	 * @param <T> the type of the answer
	 * @return the answers by operators' address
	 * @throws CommandException if no daemon answers
	 * @throws InterruptedException if the thread is interrupted
	 */
	public <T> Map<HostAddress, T> queryNamed(DaemonQuery<T> question) throws CommandException, InterruptedException {
		return query(this.admins, question);
	}

	/**
	 * Asks all daemons, those found from the status of a single named one included.
	 * @param question the question
	 * @param <T> the type of the answer
	 * @return the answers by operators' address
	 * @throws CommandException if no daemon answers
	 * @throws InterruptedException if the thread is interrupted
	 */
	public <T> Map<HostAddress, T> queryAll(DaemonQuery<T> question) throws CommandException, InterruptedException {
		if (this.admins.size() != 1) {
			return query(this.admins, question);
		}
		HostAddress named = this.admins.getFirst();
		Set<HostAddress> found = new LinkedHashSet<>(this.admins);
		DaemonStatus status = this.client.fetchStatus(named);
		for (DaemonStatus.MemberEntry member : status.members()) {
			int colon = member.address().lastIndexOf(':');
			if (colon > 0 && !member.status().equals(DEAD) && !member.daemon().equals(status.daemon())) {
				found.add(new HostAddress(member.address().substring(0, colon), named.port()));
			}
		}
		return query(List.copyOf(found), question);
	}

	private <T> Map<HostAddress, T> query(List<HostAddress> asked, DaemonQuery<T> question)
			throws CommandException, InterruptedException {
		Map<HostAddress, T> answers = new LinkedHashMap<>();
		try (ExecutorService executor = Executors
			.newFixedThreadPool(Math.clamp(asked.size(), 1, MAX_PARALLEL_CALLS))) {
			Map<HostAddress, Future<T>> futures = new LinkedHashMap<>();
			asked.forEach((admin) -> futures.put(admin, executor.submit(() -> question.execute(this.client, admin))));
			for (Map.Entry<HostAddress, Future<T>> entry : futures.entrySet()) {
				try {
					answers.put(entry.getKey(), entry.getValue().get());
				}
				catch (ExecutionException exception) {
					this.failures.add(toCommandException(entry.getKey(), exception.getCause()));
				}
			}
		}
		if (answers.isEmpty()) {
			throw this.failures.getFirst();
		}
		return answers;
	}

	private static CommandException toCommandException(HostAddress admin, Throwable cause) {
		return (cause instanceof CommandException exception) ? exception : new CommandException(ExitStatus.SOFTWARE,
				Step.ADMIN, admin.toString(), "defect: " + cause + "; report it", cause);
	}

	/**
	 * Asks one daemon.
	 *
	 * @param <T> the type of the answer
	 */
	@FunctionalInterface
	public interface DaemonQuery<T> {

		/**
		 * Asks a daemon.
		 * @param client the client
		 * @param admin the daemon's operators' address
		 * @return the answer
		 * @throws CommandException if there is no answer
		 */
		T execute(AdminClient client, HostAddress admin) throws CommandException;

	}

}
