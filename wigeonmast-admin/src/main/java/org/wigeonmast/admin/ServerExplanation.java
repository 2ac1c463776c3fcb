package org.wigeonmast.admin;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What one daemon thinks of a backend server and why.
 * <p>
 * Thread safety: immutable.
 *
 * @param daemon the name of the daemon
 * @param server the identifier of the backend server
 * @param address the address of the backend server
 * @param service its service
 * @param owner the name of the daemon that owns the service in this region, empty for
 * none
 * @param state the state of the server
 * @param weight the share of its slots that may be used, 0 to 1
 * @param summary why it has this state, a full sentence
 * @param evidence named values that led to the state, in a stable order
 * @param history the latest audit entries about the server
 */
public record ServerExplanation(String daemon, String server, String address, String service, String owner,
		String state, double weight, String summary, Map<String, String> evidence, List<AuditRecord> history) {

	/**
	 * Creates an explanation.
	 */
	public ServerExplanation {
		evidence = Collections.unmodifiableMap(new LinkedHashMap<>(evidence));
		history = List.copyOf(history);
	}

}
