package org.wigeonmast.balance.internal;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import org.wigeonmast.balance.peer.ServiceLoad;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.ServiceName;

/**
 * What peers told about the requests that they get. A daemon alone sees too few requests
 * to tell a busy service from an idle one.
 * <p>
 * Thread safety: none. Invariant: a peer that was not heard of for
 * {@link #FRESH_MILLISECONDS} counts for nothing.
 */
public final class FleetLoad {

	/** Age in milliseconds up to which the load of a peer counts. */
	private static final long FRESH_MILLISECONDS = 6000;

	private final Map<HostAddress, Told> peers = new HashMap<>();

	/**
	 * Takes the load of a peer, in place of what it told before.
	 * @param now the monotonic time in milliseconds
	 * @param peer the address of the peer
	 * @param loads the requests that it gets, by service
	 */
	public void told(long now, HostAddress peer, List<ServiceLoad> loads) {
		dropStale(now);
		Map<ServiceName, Double> rates = new HashMap<>();
		loads.forEach((load) -> rates.put(load.service(), load.perSecond()));
		this.peers.put(peer, new Told(now, rates));
	}

	/**
	 * Returns how many requests of a service a daemon gets on average.
	 * @param now the monotonic time in milliseconds
	 * @param service the service
	 * @param own the requests in a second that this daemon gets
	 * @return the requests in a second
	 */
	public double average(long now, ServiceName service, double own) {
		dropStale(now);
		double sum = own;
		for (Told told : this.peers.values()) {
			sum += told.rates().getOrDefault(service, 0.0);
		}
		return sum / (this.peers.size() + 1);
	}

	private void dropStale(long now) {
		Iterator<Told> all = this.peers.values().iterator();
		while (all.hasNext()) {
			if (now - all.next().at() > FRESH_MILLISECONDS) {
				all.remove();
			}
		}
	}

	/**
	 * The load of a peer.
	 *
	 * @param at when it was told, as monotonic time in milliseconds
	 * @param rates the requests in a second, by service
	 */
	private record Told(long at, Map<ServiceName, Double> rates) {
	}

}
