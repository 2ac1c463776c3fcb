package org.wigeonmast.dispatch.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.dispatch.DispatchMessage.AttemptOutcome;
import org.wigeonmast.dispatch.DispatchMessage.HeldSlot;
import org.wigeonmast.dispatch.DispatchMessage.OutcomeReport;
import org.wigeonmast.dispatch.DispatchMode;

/**
 * An entry daemon's view of one service in one region: servers, owners, dispatch mode and
 * the daemon's own tickets.
 * <p>
 * Thread safety: none. Invariant: {@link #tickets()} contains every ticket that holds a
 * slot of this region or waits for one.
 */
public final class RegionView {

	/** The number of owners that are tried, in rank order. */
	public static final int MAX_OWNERS_TRIED = 2;

	private static final int MAX_OUTCOMES = 1000;

	private static final long SILENCE_MS = 1000;

	private final ServiceName service;

	private final Region region;

	private final ServerSelector selector = new ServerSelector();

	private final Map<Long, ActiveRequest> tickets = new LinkedHashMap<>();

	private final Map<DaemonId, Long> silentUntilMs = new HashMap<>();

	private List<DaemonId> owners = List.of();

	private List<AttemptOutcome> outcomes = new ArrayList<>();

	private DispatchMode mode = DispatchMode.DIRECT;

	private long nextReportMs = Component.NO_TIMER;

	/**
	 * Creates a view.
	 * @param service the service
	 * @param region the region
	 */
	public RegionView(ServiceName service, Region region) {
		this.service = service;
		this.region = region;
	}

	/**
	 * Returns the service.
	 * @return the service
	 */
	public ServiceName service() {
		return this.service;
	}

	/**
	 * Returns the region.
	 * @return the region
	 */
	public Region region() {
		return this.region;
	}

	/**
	 * Returns the selector of the servers of the region.
	 * @return the selector
	 */
	public ServerSelector selector() {
		return this.selector;
	}

	/**
	 * Returns the requests by ticket.
	 * @return the requests, in the order of their tickets
	 */
	public Map<Long, ActiveRequest> tickets() {
		return this.tickets;
	}

	/**
	 * Returns the dispatch mode for short work.
	 * @return the mode
	 */
	public DispatchMode mode() {
		return this.mode;
	}

	/**
	 * Sets the dispatch mode for short work.
	 * @param mode the mode that the owner advised
	 */
	public void setMode(DispatchMode mode) {
		this.mode = mode;
	}

	/**
	 * Sets the owners.
	 * @param owners the live daemons in rank order
	 */
	public void setOwners(List<DaemonId> owners) {
		this.owners = owners;
		this.silentUntilMs.keySet().retainAll(owners);
	}

	/**
	 * Returns the owners in rank order.
	 * @return the owners
	 */
	public List<DaemonId> owners() {
		return this.owners;
	}

	/**
	 * Returns the owner to send requests to.
	 * @param now the current monotonic time in milliseconds
	 * @param tried the number of owners, in rank order, that were already tried for the
	 * same slot
	 * @return the first remaining owner that is not marked as silent, or {@code null} if
	 * there is none
	 */
	public @Nullable DaemonId availableOwner(long now, int tried) {
		for (int rank = tried; rank < Math.min(MAX_OWNERS_TRIED, this.owners.size()); rank++) {
			DaemonId owner = this.owners.get(rank);
			if (this.silentUntilMs.getOrDefault(owner, now) <= now) {
				return owner;
			}
		}
		return null;
	}

	/**
	 * Marks an owner that did not reply as silent, so that it is skipped for a while.
	 * @param now the current monotonic time in milliseconds
	 * @param owner the owner
	 */
	public void markSilent(long now, DaemonId owner) {
		this.silentUntilMs.put(owner, now + SILENCE_MS);
	}

	/**
	 * Marks an owner as no longer silent.
	 * @param owner the owner
	 */
	public void markReplied(DaemonId owner) {
		this.silentUntilMs.remove(owner);
	}

	/**
	 * Adds an outcome to the next report, unless the report is full.
	 * @param outcome the outcome
	 */
	public void addOutcome(AttemptOutcome outcome) {
		if (this.outcomes.size() < MAX_OUTCOMES) {
			this.outcomes.add(outcome);
		}
	}

	/**
	 * Returns when the next report is due.
	 * @return the monotonic time in milliseconds, or {@link Component#NO_TIMER}
	 */
	public long nextReportMs() {
		return this.nextReportMs;
	}

	/**
	 * Sets when the next report is due.
	 * @param nextReportMs the monotonic time in milliseconds, or
	 * {@link Component#NO_TIMER}
	 */
	public void setNextReportMs(long nextReportMs) {
		this.nextReportMs = nextReportMs;
	}

	/**
	 * Builds a report and clears the outcomes that it contains.
	 * @param now the current monotonic time in milliseconds
	 * @param watermark the lowest ticket not yet issued
	 * @return the report
	 */
	public OutcomeReport buildReport(long now, long watermark) {
		List<HeldSlot> held = new ArrayList<>();
		List<Long> waiting = new ArrayList<>();
		this.tickets.forEach((ticket, request) -> {
			HeldSlot slot = request.heldSlot(now);
			if (slot != null) {
				held.add(slot);
			}
			else {
				waiting.add(ticket);
			}
		});
		OutcomeReport report = new OutcomeReport(this.service, this.outcomes, held, waiting, watermark);
		this.outcomes = new ArrayList<>();
		return report;
	}

}
