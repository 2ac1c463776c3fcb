package org.wigeonmast.limit;

import java.util.List;
import java.util.Map;

import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.RequestId;

/**
 * Input of the {@link RateLimiter}.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface LimitInput {

	/**
	 * Asks whether a request is admitted; the first effect is the answer.
	 *
	 * @param request the request
	 * @param limits the limits that apply to it, in requests per second by subject
	 */
	record Check(RequestId request, Map<LimitSubject, Long> limits) implements LimitInput {

		public Check {
			limits = Map.copyOf(limits);
		}

	}

	/**
	 * A message arrived from a daemon, which may be this one.
	 *
	 * @param sender the sending daemon
	 * @param message the message
	 */
	record Received(DaemonId sender, LimitMessage message) implements LimitInput {
	}

	/**
	 * The live ready daemons of the fleet changed.
	 *
	 * @param live the daemons, including this one, in the same order on all daemons
	 */
	record MembersChanged(List<DaemonId> live) implements LimitInput {

		public MembersChanged {
			live = List.copyOf(live);
		}

	}

}
