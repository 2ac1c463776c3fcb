package org.wigeonmast.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

import org.wigeonmast.admin.AuditRecord;
import org.wigeonmast.cli.internal.FleetClient;
import org.wigeonmast.cli.internal.Table;
import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.HostAddress;

/**
 * Prints audit entries of daemons in the order of time.
 * <p>
 * Thread safety: none; one thread sets it up and calls it.
 */
public final class AuditCommand implements Command {

	private final List<HostAddress> admins = new ArrayList<>();

	private final PrintStream out;

	private final PrintStream errors;

	private long since;

	/**
	 * Creates a command.
	 * @param out where the entries are printed
	 * @param errors where errors are printed
	 */
	public AuditCommand(PrintStream out, PrintStream errors) {
		this.out = out;
		this.errors = errors;
	}

	/**
	 * Adds a daemon to ask.
	 * @param admin its operators' address
	 * @return this
	 */
	public AuditCommand addAdmin(HostAddress admin) {
		this.admins.add(admin);
		return this;
	}

	/**
	 * Sets after which entry to start.
	 * @param number the number of the last entry already known
	 * @return this
	 */
	public AuditCommand setSince(long number) {
		this.since = number;
		return this;
	}

	@Override
	public int call() throws CommandException, InterruptedException {
		FleetClient fleet = new FleetClient(this.admins);
		Map<HostAddress, List<AuditRecord>> answers = fleet
			.queryNamed((client, admin) -> client.fetchAuditRecords(admin, this.since));
		answers.entrySet()
			.stream()
			.flatMap((answer) -> answer.getValue()
				.stream()
				.map((entry) -> new LabelledRecord(entry, (answers.size() > 1) ? answer.getKey() + " " : "")))
			.sorted(Comparator.comparing((located) -> located.auditRecord().timeOfDay()))
			.forEach((located) -> this.out.println(located.label() + formatLine(located.auditRecord())));
		fleet.failures().forEach((failure) -> this.errors.println(Main.PROGRAM_NAME + ": " + failure.getMessage()));
		return fleet.failures().isEmpty() ? ExitStatus.OK : ExitStatus.PARTIAL;
	}

	/**
	 * Returns an entry as one line.
	 * @param numbered the entry
	 * @return the line
	 */
	static String formatLine(AuditRecord numbered) {
		AuditEntry entry = numbered.entry();
		StringBuilder line = new StringBuilder();
		line.append(numbered.timeOfDay()).append(" #").append(numbered.number()).append(' ').append(entry.kind());
		line.append(' ')
			.append(entry.subject())
			.append(" at ")
			.append(entry.step())
			.append(" by ")
			.append(entry.peer());
		entry.evidence().forEach((name, value) -> line.append("; ").append(name).append('=').append(value));
		return Table.replaceControlCharacters(line.toString());
	}

	private record LabelledRecord(AuditRecord auditRecord, String label) {
	}

}
