package org.wigeonmast.dispatch.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.health.ServerHealth;
import org.wigeonmast.manifest.BackendServer;

/**
 * Selector of backend servers by the power of two random choices, which compares the
 * numbers of attempts that this daemon has in flight at two servers.
 * <p>
 * Thread safety: none. Invariant: a server that is leaving, dead or ejected is never
 * selected.
 */
public final class ServerSelector {

	private Map<BackendServerId, Candidate> candidates = new LinkedHashMap<>();

	/**
	 * Replaces the servers. Servers that remain keep their number of attempts in flight
	 * and their health.
	 * @param servers the servers
	 */
	public void setServers(Collection<BackendServer> servers) {
		Map<BackendServerId, Candidate> newCandidates = new LinkedHashMap<>();
		for (BackendServer server : servers) {
			Candidate candidate = this.candidates.getOrDefault(server.id(), new Candidate());
			candidate.server = server;
			newCandidates.put(server.id(), candidate);
		}
		this.candidates = newCandidates;
	}

	/**
	 * Replaces the health of all servers.
	 * @param health the health by server; servers that are not listed are in service with
	 * full weight
	 */
	public void setHealth(Map<BackendServerId, ServerHealth> health) {
		this.candidates.forEach((id, candidate) -> candidate.health = health.get(id));
	}

	/**
	 * Returns a server if it may receive requests.
	 * @param id the identifier
	 * @return the server, or {@code null} if it is unknown, leaving, dead or ejected
	 */
	public @Nullable BackendServer usableServer(BackendServerId id) {
		Candidate candidate = this.candidates.get(id);
		return (candidate != null && candidate.isUsable()) ? candidate.server : null;
	}

	/**
	 * Returns whether a server that was not yet tried has a free slot, counting only the
	 * attempts of this daemon.
	 * @param excluded servers that were already tried for this request
	 * @return whether there is such a server
	 */
	public boolean hasFreeServer(Set<BackendServerId> excluded) {
		return this.candidates.values()
			.stream()
			.anyMatch((candidate) -> candidate.isUsable() && !candidate.isLastChoice()
					&& !excluded.contains(candidate.server.id()) && candidate.inFlight < candidate.server.slots());
	}

	/**
	 * Marks a server as leaving until its health is replaced.
	 * @param id the identifier
	 */
	public void markLeaving(BackendServerId id) {
		Candidate candidate = this.candidates.get(id);
		if (candidate != null) {
			candidate.health = new ServerHealth(id, ServerHealth.State.LEAVING, 0);
		}
	}

	/**
	 * Adjusts the number of attempts in flight at a server.
	 * @param id the server
	 * @param change 1 or -1
	 */
	public void adjustInFlight(BackendServerId id, int change) {
		Candidate candidate = this.candidates.get(id);
		if (candidate != null) {
			candidate.inFlight = Math.max(0, candidate.inFlight + change);
		}
	}

	/**
	 * Selects a server for an attempt.
	 * @param idempotent whether the request may run more than once; only such requests
	 * are sent to servers on trial
	 * @param excluded servers that were already tried for this request
	 * @param attemptsPerSlot the number of attempts in flight per slot at which a server
	 * is skipped
	 * @param random the source of random numbers
	 * @return the server, or {@code null} if there is none
	 */
	public @Nullable BackendServer select(boolean idempotent, Set<BackendServerId> excluded, int attemptsPerSlot,
			RandomGenerator random) {
		List<Candidate> preferred = new ArrayList<>();
		List<Candidate> lastChoice = new ArrayList<>();
		for (Candidate candidate : this.candidates.values()) {
			if (!candidate.isUsable() || excluded.contains(candidate.server.id())
					|| candidate.inFlight >= attemptsPerSlot * candidate.server.slots()) {
				continue;
			}
			if (candidate.isLastChoice()) {
				lastChoice.add(candidate);
			}
			else if (!candidate.isOnTrial() || (idempotent && candidate.inFlight == 0)) {
				preferred.add(candidate);
			}
		}
		List<Candidate> eligible = preferred.isEmpty() ? lastChoice : preferred;
		if (eligible.isEmpty()) {
			return null;
		}
		Candidate first = pickWeighted(eligible, random);
		Candidate second = pickWeighted(eligible, random);
		return (second.load() < first.load()) ? second.server : first.server;
	}

	private static Candidate pickWeighted(List<Candidate> eligible, RandomGenerator random) {
		double total = 0;
		for (Candidate candidate : eligible) {
			total += candidate.weightedSlots();
		}
		double point = random.nextDouble() * total;
		for (Candidate candidate : eligible) {
			point -= candidate.weightedSlots();
			if (point < 0) {
				return candidate;
			}
		}
		return eligible.getLast();
	}

	@SuppressWarnings("NullAway.Init")
	private static final class Candidate {

		private static final double MIN_WEIGHT = 0.01;

		private BackendServer server;

		private @Nullable ServerHealth health;

		private int inFlight;

		private boolean isUsable() {
			return this.health == null || switch (this.health.state()) {
				case SERVING, AVOIDED, TRIAL, RAMPING -> true;
				case EJECTED, LEAVING, DEAD -> false;
			};
		}

		private boolean isLastChoice() {
			return this.health != null && (this.health.state() == ServerHealth.State.AVOIDED
					|| (this.health.weight() <= 0 && this.health.state() != ServerHealth.State.TRIAL));
		}

		private boolean isOnTrial() {
			return this.health != null && this.health.state() == ServerHealth.State.TRIAL;
		}

		private double weightedSlots() {
			double weight = (this.health != null) ? this.health.weight() : 1;
			return this.server.slots() * Math.max(MIN_WEIGHT, weight);
		}

		private double load() {
			return (this.inFlight + 1) / weightedSlots();
		}

	}

}
