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
 * Prints the state of daemons: readiness, manifest in force, members and services.
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
	 * @param out where the state is printed
	 * @param errors where errors are printed
	 */
	public StatusCommand(PrintStream out, PrintStream errors) {
		this.out = out;
		this.errors = errors;
	}

	/**
	 * Adds a daemon to ask.
	 * @param admin its operators' address
	 * @return this
	 */
	public StatusCommand addAdmin(HostAddress admin) {
		this.admins.add(admin);
		return this;
	}

	/**
	 * Sets whether the daemons found from the first one's status are asked too.
	 * @param isAll whether they are
	 * @return this
	 */
	public StatusCommand setAll(boolean isAll) {
		this.all = isAll;
		return this;
	}

	@Override
	public int call() throws CommandException, InterruptedException {
		FleetClient fleet = new FleetClient(this.admins);
		Collection<DaemonStatus> answers = (this.all ? fleet.queryAll(AdminClient::fetchStatus)
				: fleet.queryNamed(AdminClient::fetchStatus))
			.values();
		printDaemons(answers);
		for (DaemonStatus status : answers) {
			status.alarms().forEach((alarm) -> this.out.println("ALARM " + status.daemon() + ": " + alarm));
		}
		DaemonStatus first = answers.iterator().next();
		printServices(first);
		printMembers(first);
		fleet.failures().forEach((failure) -> this.errors.println(Main.PROGRAM_NAME + ": " + failure.getMessage()));
		return fleet.failures().isEmpty() ? ExitStatus.OK : ExitStatus.PARTIAL;
	}

	private void printDaemons(Collection<DaemonStatus> answers) {
		Table table = new Table("DAEMON", "DOMAIN", "READY", "MANIFEST", "HASH", "IN FLIGHT", "UP (s)", "REASON");
		for (DaemonStatus status : answers) {
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
