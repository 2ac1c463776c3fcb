package org.wigeonmast.daemon.internal;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.dispatch.CoordinatorInput;
import org.wigeonmast.dispatch.DispatchEffect;
import org.wigeonmast.dispatch.RequestCoordinator;
import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.manifest.Service;
import org.wigeonmast.proxy.ProxyConfiguration;
import org.wigeonmast.proxy.ProxyServer;
import org.wigeonmast.proxy.ProxyStartException;
import org.wigeonmast.settings.DaemonSettings;

/**
 * Connects the proxy with the request coordinator.
 * <p>
 * Thread safety: confined to the control thread, except {@link #drain()}. Invariant: the
 * manifest that routes a request is known to the coordinator before the request is.
 */
final class RequestShell implements AutoCloseable {

	private final EventLog log = new EventLog(RequestShell.class);

	private final Set<ServiceName> services = new HashSet<>();

	private final RequestCoordinator coordinator;

	private final ComponentDriver<CoordinatorInput, DispatchEffect> driver;

	private final ProxyServer proxy;

	private final Consumer<AuditEntry> audit;

	private volatile @Nullable Manifest routing;

	private volatile int liveDaemons = 1;

	RequestShell(ControlThread control, DaemonSettings settings, DaemonId self, RandomGenerator random,
			Consumer<AuditEntry> audit) {
		this.audit = audit;
		this.coordinator = new RequestCoordinator(self, settings.failureDomain().region(), random);
		this.driver = new ComponentDriver<>(control, this.coordinator, this::carryOut);
		this.proxy = new ProxyServer(configuration(settings), control.clock(), () -> this.routing,
				(event) -> control.execute(() -> this.driver.handle(new CoordinatorInput.Proxied(event))));
		this.proxy.setLiveDaemons(() -> this.liveDaemons);
	}

	HostAddress start() throws ProxyStartException {
		this.driver.start();
		return this.proxy.start();
	}

	int active() {
		return this.coordinator.active();
	}

	void apply(Manifest manifest) {
		Set<ServiceName> removed = new HashSet<>(this.services);
		for (Service service : manifest.services()) {
			removed.remove(service.name());
			this.services.add(service.name());
			this.driver.handle(new CoordinatorInput.ServiceChanged(service));
		}
		this.routing = manifest;
		for (ServiceName service : removed) {
			this.services.remove(service);
			this.driver.handle(new CoordinatorInput.ServiceRemoved(service));
		}
	}

	void setLiveDaemons(int count) {
		this.liveDaemons = Math.max(1, count);
	}

	CompletableFuture<Void> drain() {
		return this.proxy.drain();
	}

	@Override
	public void close() {
		this.proxy.close();
		this.driver.stop();
	}

	private void carryOut(DispatchEffect effect) {
		switch (effect) {
			case DispatchEffect.Exchange exchange -> this.proxy.execute(exchange.command());
			case DispatchEffect.Audit entry -> this.audit.accept(entry.entry());
			case DispatchEffect.Logged logged -> this.log.log(logged.event(), logged.parameters().toArray());
			default -> {
				// Owners are not connected yet, so no other effect arises.
			}
		}
	}

	private static ProxyConfiguration configuration(DaemonSettings settings) {
		ProxyConfiguration defaults = ProxyConfiguration.defaults(settings.callers());
		return new ProxyConfiguration(settings.callers(), settings.name(), settings.limits().callerConnections(),
				defaults.limits(), defaults.timeouts());
	}

}
