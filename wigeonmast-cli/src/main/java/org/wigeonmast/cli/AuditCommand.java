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
 * Command {@code audit}: prints the audit entries of daemons in order of time.
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
	 * @param out the stream for the entries
	 * @param errors the stream for errors
	 */
	public AuditCommand(PrintStream out, PrintStream errors) {
		this.out = out;
		this.errors = errors;
	}

	/**
	 * Adds a daemon to query.
	 * @param admin its admin address
	 * @return this
	 */
	public AuditCommand addAdmin(HostAddress admin) {
		this.admins.add(admin);
		return this;
	}

	/**
	 * Restricts the output to entries after the given one.
	 * @param number the number of the last known entry
	 * @return this
	 */
	public AuditCommand setSince(long number) {
		this.since = number;
		return this;
	}

	@Override
	public int call() throws CommandException, InterruptedException {
		FleetClient fleet = new FleetClient(this.admins);
		Map<HostAddress, List<AuditRecord>> responses = fleet
			.queryNamed((client, admin) -> client.fetchAuditRecords(admin, this.since));
		responses.entrySet()
			.stream()
			.flatMap((response) -> response.getValue()
				.stream()
				.map((entry) -> new LabelledRecord(entry, (responses.size() > 1) ? response.getKey() + " " : "")))
			.sorted(Comparator.comparing((labelled) -> labelled.auditRecord().timeOfDay()))
			.forEach((labelled) -> this.out.println(labelled.label() + formatLine(labelled.auditRecord())));
		fleet.failures().forEach((failure) -> this.errors.println(Main.PROGRAM_NAME + ": " + failure.getMessage()));
		return fleet.failures().isEmpty() ? ExitStatus.OK : ExitStatus.PARTIAL;
	}

	/**
	 * Formats an entry as one line.
	 * @param auditRecord the entry with its number and time
	 * @return the line
	 */
	static String formatLine(AuditRecord auditRecord) {
		AuditEntry entry = auditRecord.entry();
		StringBuilder line = new StringBuilder();
		line.append(auditRecord.timeOfDay()).append(" #").append(auditRecord.number()).append(' ').append(entry.kind());
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
