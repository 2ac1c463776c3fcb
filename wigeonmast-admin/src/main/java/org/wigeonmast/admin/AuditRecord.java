package org.wigeonmast.admin;

import java.time.Instant;

import org.wigeonmast.core.AuditEntry;

/**
 * An audit entry with its sequence number and time of day in the trail of one daemon.
 * <p>
 * Thread safety: immutable.
 *
 * @param number the sequence number, starting at 1 without gaps each time the daemon
 * starts
 * @param timeOfDay the time of day at which the entry was added
 * @param entry the entry
 */
public record AuditRecord(long number, Instant timeOfDay, AuditEntry entry) {
}
