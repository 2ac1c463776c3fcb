package org.wigeonmast.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.wigeonmast.admin.AuditRecord;
import org.wigeonmast.admin.ServerExplanation;
import org.wigeonmast.cli.internal.FleetClient;
import org.wigeonmast.cli.internal.Table;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Step;

/**
 * Command {@code explain}: prints the state that each daemon assigns to a backend server,
 * and the evidence for it.
 * <p>
 * Thread safety: none; one thread sets it up and calls it.
 */
public final class ExplainCommand implements Command {

	private static final int MAX_HISTORY_LINES = 6;

	private static final int MAX_NAMES = 6;

	private final List<HostAddress> admins = new ArrayList<>();

	private final PrintStream out;

	private final PrintStream errors;

	private String host = "";

	/**
	 * Creates a command.
	 * @param out the stream for the explanation
	 * @param errors the stream for errors
	 */
	public ExplainCommand(PrintStream out, PrintStream errors) {
		this.out = out;
		this.errors = errors;
	}

	/**
	 * Sets the backend server.
	 * @param newHost its identifier, its address with port, or the IP address of its host
	 * @return this
	 */
	public ExplainCommand setHost(String newHost) {
		this.host = newHost;
		return this;
	}

	/**
	 * Adds a daemon to query.
	 * @param admin its admin address; if it is the only one, the other daemons are
	 * discovered from its status
	 * @return this
	 */
	public ExplainCommand addAdmin(HostAddress admin) {
		this.admins.add(admin);
		return this;
	}

	@Override
	public int call() throws CommandException, InterruptedException {
		FleetClient fleet = new FleetClient(this.admins);
		Map<String, List<ServerExplanation>> byServer = fleet
			.queryAll((client, admin) -> client.fetchExplanations(admin, this.host))
			.values()
			.stream()
			.flatMap(List::stream)
			.collect(Collectors.groupingBy(ServerExplanation::server, LinkedHashMap::new, Collectors.toList()));
		byServer.values().forEach(this::printExplanations);
		fleet.failures().forEach((failure) -> this.errors.println(Main.PROGRAM_NAME + ": " + failure.getMessage()));
		if (byServer.isEmpty()) {
			throw new CommandException(ExitStatus.NO_HOST, Step.ADMIN, this.host,
					"no daemon knows a backend server with this identifier or address; see the manifest in force",
					null);
		}
		return fleet.failures().isEmpty() ? ExitStatus.OK : ExitStatus.PARTIAL;
	}

	private void printExplanations(List<ServerExplanation> explanations) {
		ServerExplanation first = explanations.getFirst();
		this.out.println(Table.replaceControlCharacters(
				"backend server " + first.server() + " at " + first.address() + ", service " + first.service()));
		Table table = new Table("STATE", "WEIGHT", "OWNER", "DAEMONS", "NAMES");
		explanations.stream()
			.collect(Collectors.groupingBy((explanation) -> List.of(explanation.state(),
					"%.2f".formatted(explanation.weight()), explanation.owner()), LinkedHashMap::new,
					Collectors.toList()))
			.forEach((group, agreeing) -> table.addRow(group.get(0), group.get(1), group.get(2), agreeing.size(),
					joinNames(agreeing)));
		this.out.print(table);
		ServerExplanation ownersExplanation = explanations.stream()
			.filter((explanation) -> explanation.daemon().equals(explanation.owner()))
			.findFirst()
			.orElse(first);
		this.out
			.println(Table.replaceControlCharacters(ownersExplanation.daemon() + ": " + ownersExplanation.summary()));
		ownersExplanation.evidence()
			.forEach((name, value) -> this.out.println(Table.replaceControlCharacters("  " + name + ": " + value)));
		printHistory(ownersExplanation.history());
		this.out.println();
	}

	private void printHistory(List<AuditRecord> history) {
		int start = Math.max(0, history.size() - MAX_HISTORY_LINES);
		for (AuditRecord entry : history.subList(start, history.size())) {
			this.out.println(AuditCommand.formatLine(entry));
		}
	}

	private static String joinNames(List<ServerExplanation> explanations) {
		String names = explanations.stream()
			.limit(MAX_NAMES)
			.map(ServerExplanation::daemon)
			.collect(Collectors.joining(" "));
		return (explanations.size() > MAX_NAMES) ? names + " ..." : names;
	}

}
