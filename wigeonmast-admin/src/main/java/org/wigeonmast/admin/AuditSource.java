package org.wigeonmast.admin;

import java.util.List;

/**
 * Gives out audit entries.
 * <p>
 * Thread safety: implementations are usable from any thread and never wait.
 */
@FunctionalInterface
public interface AuditSource {

	/**
	 * Returns the oldest entries after a number.
	 * @param lastNumber the number of the last entry already known, 0 for none
	 * @param limit the greatest number of entries to return
	 * @return the entries in order; numbers that are missing were overwritten
	 */
	List<AuditRecord> recordsSince(long lastNumber, int limit);

}
