package org.wigeonmast.dispatch.internal;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.Region;
import org.wigeonmast.dispatch.DispatchMessage.KeyOutcome;
import org.wigeonmast.dispatch.DispatchMessage.KeyQuery;
import org.wigeonmast.dispatch.DispatchMessage.KeyRegistration;
import org.wigeonmast.dispatch.DispatchMessage.KeyVerdict;
import org.wigeonmast.dispatch.KeyResult;
import org.wigeonmast.dispatch.RefusalReason;

/**
 * Admission of non-idempotent requests with an idempotency key, which requires the
 * verdicts of the owners that register keys.
 * <p>
 * Thread safety: none. Invariants: no such request is sent before the owner of this
 * region has registered its key; a possible duplicate is not sent before the owner in
 * every region has vouched that the key was not seen since it was created.
 */
public final class KeyAdmission {

	private static final long RETRY_INTERVAL_MS = 50;

	/**
	 * Share of the remaining time for which a declared first attempt waits for its
	 * registration.
	 */
	private static final double MAX_WAIT_SHARE = 0.5;

	private final Region homeRegion;

	private final EffectBuffer effects;

	private final Listener listener;

	private final Map<Long, ActiveRequest> requestsByQuery = new HashMap<>();

	private final TimerQueue<ActiveRequest> timers = new TimerQueue<>();

	private @Nullable List<Region> regions;

	private long timeOfDayOffsetMs = KeyAge.UNKNOWN_TIME;

	private long nextQuery = 1;

	/**
	 * Creates an admission that admits no possible duplicates until the regions are set.
	 * @param homeRegion the region in which this daemon runs
	 * @param effects receives the effects
	 * @param listener receives the decisions
	 */
	public KeyAdmission(Region homeRegion, EffectBuffer effects, Listener listener) {
		this.homeRegion = homeRegion;
		this.effects = effects;
		this.listener = listener;
	}

	/**
	 * Sets the regions in which daemons may accept requests.
	 * @param regions the regions
	 */
	public void setRegions(Set<Region> regions) {
		// A fixed order makes the order of the effects reproducible.
		this.regions = regions.stream().sorted(Comparator.comparing(Region::name)).toList();
	}

	/**
	 * Sets the difference between the time of day and the monotonic time.
	 * @param offsetMs the time of day minus the monotonic time, in milliseconds
	 */
	public void setTimeOfDayOffset(long offsetMs) {
		this.timeOfDayOffsetMs = offsetMs;
	}

	/**
	 * Starts the admission of a request.
	 * @param now the current monotonic time in milliseconds
	 * @param request a non-idempotent request with a key
	 * @param service the view of its service
	 */
	public void startAdmission(long now, ActiveRequest request, ServiceView service) {
		request.state = ActiveRequest.State.REGISTERING;
		request.registrationDeadlineMs = now + (long) (request.remainingMs(now) * MAX_WAIT_SHARE);
		if (request.remainingMs(now) == 0) {
			this.listener.onRefused(now, request, RefusalReason.DEADLINE_EXPIRED);
			return;
		}
		boolean allQueried = sendQuery(now, request, service, service.region(this.homeRegion), true);
		if (allQueried && isPossibleDuplicate(request)) {
			allQueried = this.regions != null;
			for (Region region : (this.regions != null) ? this.regions : List.<Region>of()) {
				if (allQueried && !region.equals(this.homeRegion)) {
					allQueried = sendQuery(now, request, service, service.region(region), false);
				}
			}
		}
		if (!allQueried) {
			refuseUnvouched(now, request);
			return;
		}
		long timeoutMs = isPossibleDuplicate(request) ? SlotClient.REMOTE_OWNER_TIMEOUT_MS : RETRY_INTERVAL_MS;
		scheduleTimer(request, Math.min(now + timeoutMs, request.description.deadline()));
	}

	/**
	 * Handles a verdict.
	 * @param now the current monotonic time in milliseconds
	 * @param sender the owner that answers
	 * @param verdict the verdict
	 */
	public void handleVerdict(long now, DaemonId sender, KeyVerdict verdict) {
		ActiveRequest request = this.requestsByQuery.get(verdict.query());
		ActiveRequest.KeyQueryState keyQuery = (request != null) ? request.keyQueries.get(verdict.query()) : null;
		if (request == null || keyQuery == null || request.state != ActiveRequest.State.REGISTERING
				|| !keyQuery.owner().equals(sender)) {
			return;
		}
		switch (verdict.verdict()) {
			case FIRST -> {
				request.keyQueries.put(verdict.query(), keyQuery.asVouched());
				if (request.keyQueries.values().stream().allMatch(ActiveRequest.KeyQueryState::vouched)) {
					request.state = ActiveRequest.State.NEW;
					this.listener.onAdmitted(now, request);
				}
			}
			case SEEN -> this.listener.onSeen(request, verdict.outcome());
			case CANNOT_VOUCH -> {
				if (isPossibleDuplicate(request)) {
					refuseUnvouched(now, request);
				}
			}
		}
	}

	/**
	 * Reports to the queried owners how a request ended.
	 * @param request the request
	 * @param result the result
	 */
	public void reportResult(ActiveRequest request, KeyResult result) {
		String key = request.description.key();
		if (key == null) {
			return;
		}
		request.keyQueries.forEach((query, keyQuery) -> {
			this.requestsByQuery.remove(query);
			this.effects.send(keyQuery.owner(), new KeyOutcome(query, request.description.service(), key, result));
		});
	}

	/**
	 * Handles the timers that are due.
	 * @param now the current monotonic time in milliseconds
	 * @param viewFinder the lookup of the view of a request's service
	 */
	public void tick(long now, ViewFinder viewFinder) {
		for (ActiveRequest request = this.timers.poll(now); request != null; request = this.timers.poll(now)) {
			if (request.timerMs > now || request.state != ActiveRequest.State.REGISTERING) {
				continue;
			}
			ServiceView service = viewFinder.find(request);
			if (service == null || isPossibleDuplicate(request) || now >= request.registrationDeadlineMs) {
				refuseUnvouched(now, request);
			}
			else {
				// An owner that took over may still be collecting promises.
				sendQuery(now, request, service, service.region(this.homeRegion), true);
				scheduleTimer(request, now + RETRY_INTERVAL_MS);
			}
		}
	}

	/**
	 * Returns when {@link #tick} is due next.
	 * @return the monotonic time in milliseconds
	 */
	public long nextTick() {
		return this.timers.nextTimerMs();
	}

	private boolean sendQuery(long now, ActiveRequest request, ServiceView service, RegionView view,
			boolean registration) {
		String key = request.description.key();
		if (view.owners().isEmpty() || key == null) {
			return false;
		}
		DaemonId owner = view.owners().getFirst();
		long query = request.findQuery(owner);
		if (query == 0) {
			query = this.nextQuery++;
			if (registration) {
				// It is no longer necessary to wait for a former owner that has not
				// answered, because the new owner registers the key.
				request.keyQueries.replaceAll((number, keyQuery) -> keyQuery.asVouched());
			}
			request.keyQueries.put(query, new ActiveRequest.KeyQueryState(owner, false));
			this.requestsByQuery.put(query, request);
		}
		long timeOfDayMs = (this.timeOfDayOffsetMs != KeyAge.UNKNOWN_TIME) ? now + this.timeOfDayOffsetMs
				: KeyAge.UNKNOWN_TIME;
		long ageMs = KeyAge.maxAgeMs(key, timeOfDayMs, service.service().keyLifetime());
		this.effects.send(owner,
				registration
						? new KeyRegistration(query, view.service(), key, request.description.declaredAttempt(), ageMs)
						: new KeyQuery(query, view.service(), key, ageMs));
		return true;
	}

	private static boolean isPossibleDuplicate(ActiveRequest request) {
		return request.description.declaredAttempt() != 1;
	}

	private void refuseUnvouched(long now, ActiveRequest request) {
		if (isPossibleDuplicate(request)) {
			this.listener.onCannotVouch(request);
		}
		else {
			this.listener.onRefused(now, request, RefusalReason.KEY_NOT_REGISTERED);
		}
	}

	private void scheduleTimer(ActiveRequest request, long timeMs) {
		request.timerMs = timeMs;
		this.timers.add(timeMs, request);
	}

	/**
	 * Listener for the decisions about requests with keys.
	 */
	public interface Listener {

		/**
		 * Called when the request may run.
		 * @param now the current monotonic time in milliseconds
		 * @param request the request
		 */
		void onAdmitted(long now, ActiveRequest request);

		/**
		 * Called when the key was seen before.
		 * @param request the request
		 * @param outcome the result of the earlier request, if it is known
		 */
		void onSeen(ActiveRequest request, @Nullable KeyResult outcome);

		/**
		 * Called when an earlier request with the key cannot be ruled out.
		 * @param request the request
		 */
		void onCannotVouch(ActiveRequest request);

		/**
		 * Called when the request is refused without being run.
		 * @param now the current monotonic time in milliseconds
		 * @param request the request
		 * @param reason the reason
		 */
		void onRefused(long now, ActiveRequest request, RefusalReason reason);

	}

	/**
	 * Lookup of the view of a request's service.
	 */
	public interface ViewFinder {

		/**
		 * Finds the view.
		 * @param request the request
		 * @return the view, or {@code null} if the manifest no longer has the service
		 */
		@Nullable ServiceView find(ActiveRequest request);

	}

}
