package org.wigeonmast.health;

import java.util.List;
import java.util.Map;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.manifest.WorkClass;

/**
 * The inputs of the components of this module, such as {@link HealthMonitor}.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface HealthInput {

	/**
	 * The result of one request.
	 *
	 * @param observation the observation of the daemon that sent the request
	 * @param age the time in milliseconds since the request ended, 0 if it is reported
	 * immediately
	 */
	record RequestObserved(Observation observation, long age) implements HealthInput {
	}

	/**
	 * A report of all requests of the service that one daemon has in flight at this time;
	 * it replaces the earlier report of that daemon.
	 *
	 * @param observer the daemon
	 * @param requests the requests
	 */
	record InFlightReport(DaemonId observer, List<RunningRequest> requests) implements HealthInput {

		/**
		 * Creates a report.
		 * @param observer the daemon
		 * @param requests the requests
		 */
		public InFlightReport {
			requests = List.copyOf(requests);
		}

	}

	/**
	 * A request in flight.
	 *
	 * @param server the backend server
	 * @param workClass the class of work
	 * @param elapsed the time since it was sent in milliseconds
	 */
	record RunningRequest(BackendServerId server, WorkClass workClass, long elapsed) {
	}

	/**
	 * A change of the availability of a backend server, by the host list, by membership
	 * or by the responses of the server.
	 *
	 * @param server the backend server
	 * @param availability the availability
	 */
	record AvailabilityChanged(BackendServerId server, Availability availability) implements HealthInput {
	}

	/**
	 * A response of the health or load endpoint of a backend server, which is weak
	 * evidence.
	 *
	 * @param server the backend server
	 * @param healthy whether the endpoint states that the server is healthy
	 */
	record EndpointPolled(BackendServerId server, boolean healthy) implements HealthInput {
	}

	/**
	 * The end of a probe that a {@link HealthEffect.Probe} requested.
	 *
	 * @param server the backend server
	 * @param answered whether the server answered the probe without an error
	 */
	record ProbeEnded(BackendServerId server, boolean answered) implements HealthInput {
	}

	/**
	 * The plan of a service in a manifest that was applied.
	 *
	 * @param plan the service as the manifest describes it
	 */
	record PlanChanged(ServicePlan plan) implements HealthInput {
	}

	/**
	 * The removal of a service by a manifest that was applied.
	 *
	 * @param service the service
	 */
	record ServiceRemoved(ServiceName service) implements HealthInput {
	}

	/**
	 * A request to eject an unhealthy backend server, or to update the description of its
	 * ejection.
	 *
	 * @param server the backend server
	 * @param strength the strength of the evidence
	 * @param trial whether a few idempotent requests may be sent to the server
	 * @param evidence the evidence in one line
	 */
	record EjectionRequested(BackendServerId server, double strength, boolean trial,
			String evidence) implements HealthInput {
	}

	/**
	 * A request to end the ejection of a backend server.
	 *
	 * @param server the backend server
	 */
	record EjectionWithdrawn(BackendServerId server) implements HealthInput {
	}

	/**
	 * A change of the set of live daemons.
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
	 * A message that was received from a daemon.
	 *
	 * @param sender the daemon that sent the message
	 * @param message the message
	 */
	record MessageReceived(DaemonId sender, HealthMessage message) implements HealthInput {
	}

}
