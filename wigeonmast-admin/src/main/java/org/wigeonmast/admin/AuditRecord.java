package org.wigeonmast.admin;

import java.time.Instant;

import org.wigeonmast.core.AuditEntry;

/**
 * An audit entry with its place in the trail of one daemon.
 * <p>
 * Thread safety: immutable.
 *
 * @param number the number, from 1 without gaps for each start of a daemon
 * @param timeOfDay the time of day at which the entry was added
 * @param entry the entry
 */
public record AuditRecord(long number, Instant timeOfDay, AuditEntry entry) {
}
