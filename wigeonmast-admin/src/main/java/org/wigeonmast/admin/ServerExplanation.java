package org.wigeonmast.admin;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The state of a backend server as one daemon sees it, with the reasons for that state.
 * <p>
 * Thread safety: immutable.
 *
 * @param daemon the name of the daemon
 * @param server the identifier of the backend server
 * @param address the address of the backend server
 * @param service the service that the server belongs to
 * @param owner the name of the daemon that owns the service in this region, empty if none
 * does
 * @param state the state of the server
 * @param weight the fraction of its slots that may be used, 0 to 1
 * @param summary why it has this state, a full sentence
 * @param evidence the measurements that led to the state by name, in a stable order
 * @param history the latest audit entries about the server
 */
public record ServerExplanation(String daemon, String server, String address, String service, String owner,
		String state, double weight, String summary, Map<String, String> evidence, List<AuditRecord> history) {

	/**
	 * Creates an explanation with immutable copies of the collections.
	 */
	public ServerExplanation {
		evidence = Collections.unmodifiableMap(new LinkedHashMap<>(evidence));
		history = List.copyOf(history);
	}

}
