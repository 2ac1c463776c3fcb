package org.wigeonmast.limit;

import java.util.List;
import java.util.Map;

import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.RequestId;

/**
 * An input of the {@link LimitGate}.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface LimitInput {

	/**
	 * Asks whether a request may pass; the answer is the first effect.
	 *
	 * @param request the request
	 * @param limits the limits in requests per second that apply to it, by subject
	 */
	record Check(RequestId request, Map<LimitSubject, Long> limits) implements LimitInput {

		public Check {
			limits = Map.copyOf(limits);
		}

	}

	/**
	 * A message of a daemon.
	 *
	 * @param sender the sender
	 * @param message the message
	 */
	record Received(DaemonId sender, LimitMessage message) implements LimitInput {
	}

	/**
	 * The live ready daemons of the fleet changed.
	 *
	 * @param live the daemons, with this one, in an order that all daemons share
	 */
	record MembersChanged(List<DaemonId> live) implements LimitInput {

		public MembersChanged {
			live = List.copyOf(live);
		}

	}

}
