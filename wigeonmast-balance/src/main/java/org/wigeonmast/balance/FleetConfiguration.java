package org.wigeonmast.balance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.ServiceName;

/**
 * A published configuration: routing rules, services and limits, as a whole.
 * <p>
 * Thread safety: immutable.
 */
public final class FleetConfiguration {

	private final long version;

	private final Map<String, List<RoutingRule>> rules = new HashMap<>();

	private final Map<ServiceName, ServiceConfiguration> services = new HashMap<>();

	private final CallerLimits limits;

	/**
	 * Creates a configuration.
	 * @param version the version; a higher one replaces a lower one
	 * @param rules the routing rules
	 * @param services the services
	 * @param limits the limits for callers
	 */
	public FleetConfiguration(long version, List<RoutingRule> rules, List<ServiceConfiguration> services,
			CallerLimits limits) {
		this.version = version;
		this.limits = limits;
		for (RoutingRule rule : rules) {
			this.rules.computeIfAbsent(rule.host(), (host) -> new ArrayList<>()).add(rule);
		}
		Comparator<RoutingRule> longestFirst = Comparator.comparingInt((rule) -> -rule.prefix().length());
		this.rules.values().forEach((hostRules) -> hostRules.sort(longestFirst));
		services.forEach((service) -> this.services.put(service.name(), service));
	}

	/**
	 * Returns the version of this configuration.
	 * @return the version; a higher one replaces a lower one
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the limits for callers.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	/**
	 * Returns the number of routing rules.
	 * @return the number
	 */
	public int ruleCount() {
		return this.rules.values().stream().mapToInt(List::size).sum();
	}

	/**
	 * Returns the configuration of a service.
	 * @param name the name of the service
	 * @return the configuration, or {@code null} if the service has none
	 */
	public @Nullable ServiceConfiguration service(ServiceName name) {
		return this.services.get(name);
	}

	/**
	 * Returns the rule with the longest matching prefix.
	 * @param hostField the value of the Host field, which may state a port
	 * @param path the path without query
	 * @return the rule, or {@code null} if none matches
	 */
	public @Nullable RoutingRule findRule(String hostField, String path) {
		int colon = hostField.lastIndexOf(':');
		String host = ((colon < 0) ? hostField : hostField.substring(0, colon)).toLowerCase(Locale.ROOT);
		for (RoutingRule rule : this.rules.getOrDefault(host, List.of())) {
			if (path.startsWith(rule.prefix())) {
				return rule;
			}
		}
		return null;
	}

}
