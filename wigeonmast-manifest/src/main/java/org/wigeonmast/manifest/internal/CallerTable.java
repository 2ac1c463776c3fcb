package org.wigeonmast.manifest.internal;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.wigeonmast.core.CallerId;
import org.wigeonmast.manifest.CallerLimit;

/**
 * The limits of callers by identifier.
 * <p>
 * Thread safety: immutable.
 */
public final class CallerTable {

	private final Map<CallerId, Long> limits;

	/**
	 * Creates a table.
	 * @param limits the limits
	 */
	public CallerTable(Collection<CallerLimit> limits) {
		this.limits = HashMap.newHashMap(limits.size());
		limits.forEach((limit) -> this.limits.put(limit.caller(), limit.requestsPerSecond()));
	}

	/**
	 * Returns the limit of a caller.
	 * @param caller the caller
	 * @return the requests per second, or 0 for no limit
	 */
	public long limit(CallerId caller) {
		return this.limits.getOrDefault(caller, 0L);
	}

}
