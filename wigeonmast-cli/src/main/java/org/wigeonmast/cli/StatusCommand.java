package org.wigeonmast.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.wigeonmast.admin.DaemonStatus;
import org.wigeonmast.cli.internal.AdminClient;
import org.wigeonmast.cli.internal.FleetClient;
import org.wigeonmast.cli.internal.Table;
import org.wigeonmast.core.HostAddress;

/**
 * Command {@code status}: prints the readiness, manifest in force, members and services
 * of daemons.
 * <p>
 * Thread safety: none; one thread sets it up and calls it.
 */
public final class StatusCommand implements Command {

	private static final int HASH_PREFIX_LENGTH = 12;

	private final List<HostAddress> admins = new ArrayList<>();

	private final PrintStream out;

	private final PrintStream errors;

	private boolean all;

	/**
	 * Creates a command.
	 * @param out the stream for the state
	 * @param errors the stream for errors
	 */
	public StatusCommand(PrintStream out, PrintStream errors) {
		this.out = out;
		this.errors = errors;
	}

	/**
	 * Adds a daemon to query.
	 * @param admin its admin address
	 * @return this
	 */
	public StatusCommand addAdmin(HostAddress admin) {
		this.admins.add(admin);
		return this;
	}

	/**
	 * Sets whether the daemons that are discovered from the status of a single given one
	 * are queried too.
	 * @param isAll whether all daemons are queried
	 * @return this
	 */
	public StatusCommand setAll(boolean isAll) {
		this.all = isAll;
		return this;
	}

	@Override
	public int call() throws CommandException, InterruptedException {
		FleetClient fleet = new FleetClient(this.admins);
		Collection<DaemonStatus> responses = (this.all ? fleet.queryAll(AdminClient::fetchStatus)
				: fleet.queryNamed(AdminClient::fetchStatus))
			.values();
		printDaemons(responses);
		for (DaemonStatus status : responses) {
			status.alarms().forEach((alarm) -> this.out.println("ALARM " + status.daemon() + ": " + alarm));
		}
		DaemonStatus first = responses.iterator().next();
		printServices(first);
		printMembers(first);
		fleet.failures().forEach((failure) -> this.errors.println(Main.PROGRAM_NAME + ": " + failure.getMessage()));
		return fleet.failures().isEmpty() ? ExitStatus.OK : ExitStatus.PARTIAL;
	}

	private void printDaemons(Collection<DaemonStatus> responses) {
		Table table = new Table("DAEMON", "DOMAIN", "READY", "MANIFEST", "HASH", "IN FLIGHT", "UP (s)", "REASON");
		for (DaemonStatus status : responses) {
			String hash = status.manifest().hash();
			table.addRow(status.daemon() + "#" + status.incarnation(), status.failureDomain(),
					status.ready() ? "yes" : "no", status.manifest().version(),
					hash.substring(0, Math.min(HASH_PREFIX_LENGTH, hash.length())), status.requestsInFlight(),
					status.uptimeMilliseconds() / 1_000, status.reason());
		}
		this.out.print(table);
	}

	private void printServices(DaemonStatus status) {
		Table table = new Table("SERVICE", "OWNER", "MODE", "SERVERS", "SERVING", "FLOOR", "OUT OF SERVICE");
		status.services()
			.forEach((service) -> table.addRow(service.service(), service.owner(), service.mode(), service.servers(),
					service.serving(), service.floor(), String.join(" ", service.outOfService())));
		this.out.println();
		this.out.println("Services as " + status.daemon() + " sees them:");
		this.out.print(table);
	}

	private void printMembers(DaemonStatus status) {
		Table table = new Table("MEMBER", "LINKS", "DOMAIN", "PHASE", "STATUS");
		status.members()
			.forEach((member) -> table.addRow(member.daemon() + "#" + member.incarnation(), member.address(),
					member.failureDomain(), member.phase(), member.status()));
		this.out.println();
		this.out.println("Members as " + status.daemon() + " sees them:");
		this.out.print(table);
	}

}
