package org.wigeonmast.balance.internal;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import org.wigeonmast.balance.peer.ServiceLoad;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.ServiceName;

/**
 * The request rates that peers have reported. The requests that one daemon receives are
 * too few to distinguish a busy service from an idle one.
 * <p>
 * Thread safety: none. Invariant: a report older than {@link #MAX_AGE_MS} is ignored.
 */
public final class FleetLoad {

	/** Maximum age in milliseconds of a report. */
	private static final long MAX_AGE_MS = 6000;

	private final Map<HostAddress, PeerRates> peers = new HashMap<>();

	/**
	 * Records the load of a peer, which replaces its previous report.
	 * @param now the current monotonic time in milliseconds
	 * @param peer the address of the peer
	 * @param loads the load by service
	 */
	public void recordPeerLoad(long now, HostAddress peer, List<ServiceLoad> loads) {
		removeOutdated(now);
		Map<ServiceName, Double> rates = new HashMap<>();
		loads.forEach((load) -> rates.put(load.service(), load.perSecond()));
		this.peers.put(peer, new PeerRates(now, rates));
	}

	/**
	 * Returns the request rate of a service, averaged over this daemon and its peers.
	 * @param now the current monotonic time in milliseconds
	 * @param service the service
	 * @param ownRate the requests per second that this daemon receives
	 * @return the requests per second of a daemon
	 */
	public double averageRate(long now, ServiceName service, double ownRate) {
		removeOutdated(now);
		double sum = ownRate;
		for (PeerRates peerRates : this.peers.values()) {
			sum += peerRates.rates().getOrDefault(service, 0.0);
		}
		return sum / (this.peers.size() + 1);
	}

	private void removeOutdated(long now) {
		Iterator<PeerRates> all = this.peers.values().iterator();
		while (all.hasNext()) {
			if (now - all.next().receivedAt() > MAX_AGE_MS) {
				all.remove();
			}
		}
	}

	/**
	 * The request rates of a peer.
	 *
	 * @param receivedAt the monotonic time in milliseconds at which they were received
	 * @param rates the requests per second by service
	 */
	private record PeerRates(long receivedAt, Map<ServiceName, Double> rates) {
	}

}
