package org.wigeonmast.admin;

import java.util.List;

/**
 * Source of audit entries.
 * <p>
 * Thread safety: implementations are usable from any thread and never block.
 */
@FunctionalInterface
public interface AuditSource {

	/**
	 * Returns the oldest retained entries that follow an entry.
	 * @param lastNumber the number of the last entry that the client has, 0 if it has
	 * none
	 * @param limit the maximum number of entries to return
	 * @return the entries in ascending order; entries with missing numbers were
	 * overwritten
	 */
	List<AuditRecord> recordsSince(long lastNumber, int limit);

}
