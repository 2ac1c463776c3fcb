package org.wigeonmast.health;

import java.util.List;
import java.util.Map;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.manifest.WorkClass;

/**
 * What a {@link HealthMonitor} takes.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface HealthInput {

	/**
	 * The result of one request.
	 *
	 * @param observation what the daemon saw
	 * @param age the time in milliseconds since the request ended, 0 if it is reported at
	 * once
	 */
	record Observed(Observation observation, long age) implements HealthInput {
	}

	/**
	 * All requests of the service that one daemon has in flight at this time; it replaces
	 * the daemon's earlier report.
	 *
	 * @param observer the daemon
	 * @param requests the requests
	 */
	record InFlight(DaemonId observer, List<RunningRequest> requests) implements HealthInput {

		/**
		 * Creates a report.
		 * @param observer the daemon
		 * @param requests the requests
		 */
		public InFlight {
			requests = List.copyOf(requests);
		}

	}

	/**
	 * A request that has no result yet.
	 *
	 * @param server the backend server
	 * @param workClass the class of work
	 * @param elapsed the time since it was sent in milliseconds
	 */
	record RunningRequest(BackendServerId server, WorkClass workClass, long elapsed) {
	}

	/**
	 * The host list, membership or a backend server's answers changed what is known about
	 * a backend server.
	 *
	 * @param server the backend server
	 * @param availability the availability
	 */
	record AvailabilityChanged(BackendServerId server, Availability availability) implements HealthInput {
	}

	/**
	 * The reading of a health or load endpoint, which is weak evidence.
	 *
	 * @param server the backend server
	 * @param healthy what it states
	 */
	record EndpointRead(BackendServerId server, boolean healthy) implements HealthInput {
	}

	/**
	 * A probe that was asked for ended.
	 *
	 * @param server the backend server
	 * @param answered whether the server answered it without an error
	 */
	record ProbeEnded(BackendServerId server, boolean answered) implements HealthInput {
	}

	/**
	 * A manifest was applied.
	 *
	 * @param plan the service as the manifest describes it
	 */
	record PlanChanged(ServicePlan plan) implements HealthInput {
	}

	/**
	 * A manifest without a service was applied.
	 *
	 * @param service the service
	 */
	record ServiceRemoved(ServiceName service) implements HealthInput {
	}

	/**
	 * An unhealthy backend server shall be ejected, or its ejection described anew.
	 *
	 * @param server the backend server
	 * @param strength the strength of the evidence
	 * @param trial whether a few idempotent requests may be sent to it
	 * @param evidence why, in one line
	 */
	record EjectionWanted(BackendServerId server, double strength, boolean trial,
			String evidence) implements HealthInput {
	}

	/**
	 * A backend server shall no longer be ejected.
	 *
	 * @param server the backend server
	 */
	record EjectionUnwanted(BackendServerId server) implements HealthInput {
	}

	/**
	 * The live daemons changed.
	 *
	 * @param voters the live daemons by failure domain
	 */
	record VotersChanged(Map<FailureDomain, List<DaemonId>> voters) implements HealthInput {

		/**
		 * Creates a change.
		 * @param voters the live daemons by failure domain
		 */
		public VotersChanged {
			voters = Map.copyOf(voters);
		}

	}

	/**
	 * A message from a daemon.
	 *
	 * @param sender the daemon
	 * @param message the message
	 */
	record Received(DaemonId sender, HealthMessage message) implements HealthInput {
	}

}
