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

	private static final long RETRY_INTERVAL = 50;

	/**
	 * Share of the remaining time for which a declared first attempt waits for its
	 * registration.
	 */
	private static final double WAIT_SHARE = 0.5;

	private final Region home;

	private final EffectBuffer effects;

	private final Listener listener;

	private final Map<Long, ActiveRequest> byQuery = new HashMap<>();

	private final TimerQueue<ActiveRequest> wakeups = new TimerQueue<>();

	private @Nullable List<Region> regions;

	private long timeOfDayOffset = KeyAge.UNKNOWN_TIME;

	private long nextQuery = 1;

	/**
	 * Creates an admission that admits no possible duplicates until the regions are set.
	 * @param home the region in which this daemon runs
	 * @param effects receives the effects
	 * @param listener receives the decisions
	 */
	public KeyAdmission(Region home, EffectBuffer effects, Listener listener) {
		this.home = home;
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
	 * @param offset the time of day minus the monotonic time, in milliseconds
	 */
	public void setTimeOfDayOffset(long offset) {
		this.timeOfDayOffset = offset;
	}

	/**
	 * Starts the admission of a request.
	 * @param now the current monotonic time in milliseconds
	 * @param request a non-idempotent request with a key
	 * @param service the view of its service
	 */
	public void admit(long now, ActiveRequest request, ServiceView service) {
		request.state = ActiveRequest.State.REGISTERING;
		request.registerUntil = now + (long) (request.remaining(now) * WAIT_SHARE);
		if (request.remaining(now) == 0) {
			this.listener.refused(now, request, RefusalReason.DEADLINE_EXPIRED);
			return;
		}
		boolean complete = ask(now, request, service, service.region(this.home), true);
		if (complete && possibleRepeat(request)) {
			complete = this.regions != null;
			for (Region region : (this.regions != null) ? this.regions : List.<Region>of()) {
				if (complete && !region.equals(this.home)) {
					complete = ask(now, request, service, service.region(region), false);
				}
			}
		}
		if (!complete) {
			notVouched(now, request);
			return;
		}
		long timeout = possibleRepeat(request) ? SlotClient.REMOTE_OWNER_TIMEOUT : RETRY_INTERVAL;
		wakeAt(request, Math.min(now + timeout, request.description.deadline()));
	}

	/**
	 * Handles a verdict.
	 * @param now the current monotonic time in milliseconds
	 * @param sender the owner that answers
	 * @param verdict the verdict
	 */
	public void verdict(long now, DaemonId sender, KeyVerdict verdict) {
		ActiveRequest request = this.byQuery.get(verdict.query());
		ActiveRequest.KeyQueryState question = (request != null) ? request.questions.get(verdict.query()) : null;
		if (request == null || question == null || request.state != ActiveRequest.State.REGISTERING
				|| !question.owner().equals(sender)) {
			return;
		}
		switch (verdict.verdict()) {
			case FIRST -> {
				request.questions.put(verdict.query(), question.answered());
				if (request.questions.values().stream().allMatch(ActiveRequest.KeyQueryState::vouched)) {
					request.state = ActiveRequest.State.NEW;
					this.listener.admitted(now, request);
				}
			}
			case SEEN -> this.listener.seen(request, verdict.outcome());
			case CANNOT_VOUCH -> {
				if (possibleRepeat(request)) {
					notVouched(now, request);
				}
			}
		}
	}

	/**
	 * Reports to the queried owners how a request ended.
	 * @param request the request
	 * @param result the result
	 */
	public void ended(ActiveRequest request, KeyResult result) {
		String key = request.description.key();
		if (key == null) {
			return;
		}
		request.questions.forEach((query, question) -> {
			this.byQuery.remove(query);
			this.effects.send(question.owner(), new KeyOutcome(query, request.description.service(), key, result));
		});
	}

	/**
	 * Handles the timers that are due.
	 * @param now the current monotonic time in milliseconds
	 * @param views the lookup of the view of a request's service
	 */
	public void tick(long now, ViewFinder views) {
		for (ActiveRequest request = this.wakeups.poll(now); request != null; request = this.wakeups.poll(now)) {
			if (request.wakeAt > now || request.state != ActiveRequest.State.REGISTERING) {
				continue;
			}
			ServiceView service = views.find(request);
			if (service == null || possibleRepeat(request) || now >= request.registerUntil) {
				notVouched(now, request);
			}
			else {
				// An owner that took over may still be collecting promises.
				ask(now, request, service, service.region(this.home), true);
				wakeAt(request, now + RETRY_INTERVAL);
			}
		}
	}

	/**
	 * Returns when {@link #tick} is due next.
	 * @return the monotonic time in milliseconds
	 */
	public long nextTick() {
		return this.wakeups.next();
	}

	private boolean ask(long now, ActiveRequest request, ServiceView service, RegionView view, boolean registration) {
		String key = request.description.key();
		if (view.owners().isEmpty() || key == null) {
			return false;
		}
		DaemonId owner = view.owners().getFirst();
		long query = request.queryTo(owner);
		if (query == 0) {
			query = this.nextQuery++;
			if (registration) {
				// The verdict of a former owner that did not answer is no longer needed,
				// because the new owner registers the key.
				request.questions.replaceAll((number, question) -> question.answered());
			}
			request.questions.put(query, new ActiveRequest.KeyQueryState(owner, false));
			this.byQuery.put(query, request);
		}
		long timeOfDay = (this.timeOfDayOffset != KeyAge.UNKNOWN_TIME) ? now + this.timeOfDayOffset
				: KeyAge.UNKNOWN_TIME;
		long age = KeyAge.greatest(key, timeOfDay, service.service().keyLifetime());
		this.effects.send(owner,
				registration
						? new KeyRegistration(query, view.service(), key, request.description.declaredAttempt(), age)
						: new KeyQuery(query, view.service(), key, age));
		return true;
	}

	private static boolean possibleRepeat(ActiveRequest request) {
		return request.description.declaredAttempt() != 1;
	}

	private void notVouched(long now, ActiveRequest request) {
		if (possibleRepeat(request)) {
			this.listener.notVouched(request);
		}
		else {
			this.listener.refused(now, request, RefusalReason.KEY_NOT_REGISTERED);
		}
	}

	private void wakeAt(ActiveRequest request, long time) {
		request.wakeAt = time;
		this.wakeups.add(time, request);
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
		void admitted(long now, ActiveRequest request);

		/**
		 * Called when the key was seen before.
		 * @param request the request
		 * @param outcome the result of the earlier request, if it is known
		 */
		void seen(ActiveRequest request, @Nullable KeyResult outcome);

		/**
		 * Called when an earlier request with the key cannot be ruled out.
		 * @param request the request
		 */
		void notVouched(ActiveRequest request);

		/**
		 * Called when the request is refused without being run.
		 * @param now the current monotonic time in milliseconds
		 * @param request the request
		 * @param reason the reason
		 */
		void refused(long now, ActiveRequest request, RefusalReason reason);

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
