package org.wigeonmast.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.AuditKind;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.core.Step;
import org.wigeonmast.dispatch.internal.TenureVoter;
import org.wigeonmast.manifest.Service;

/**
 * The owner side of a daemon: the slot allocators and key registers of the services that
 * it owns in its region, and the promises that it gives to other owners.
 * <p>
 * Thread safety: none; the control thread owns it. Invariant: an allocator also exists
 * for a service of which this daemon is the second in rank while other daemons send it
 * requests, which they do when the first in rank does not reply.
 * <p>
 * Usage: the daemon creates one instance, passes every dispatch message that it receives
 * both to it and to its {@link RequestCoordinator} (each ignores the messages for the
 * other), and carries out the effects as described there.
 * {@link DispatchEffect.ReportObservation} effects of this component carry the evidence
 * pooled from all entry daemons.
 */
public final class OwnedServices implements Component<OwnerInput, DispatchEffect> {

	private final Map<ServiceName, Service> services = new HashMap<>();

	private final Map<ServiceName, List<DaemonId>> owners = new HashMap<>();

	private final Map<ServiceName, List<DispatchMessage.AdvisedServer>> health = new HashMap<>();

	private final Map<ServiceName, SlotAllocator> allocators = new HashMap<>();

	private final Map<ServiceName, IdempotencyKeyRegister> registers = new HashMap<>();

	private final DaemonId self;

	private final Region region;

	private final QueueOrder order;

	private final TenureVoter voter;

	private OwnerInput.@Nullable DaemonsChanged daemons;

	/**
	 * Creates the owner side without services.
	 * @param now the current monotonic time in milliseconds
	 * @param self this daemon
	 * @param region the region in which this daemon runs
	 * @param order the order in which queued requests of one caller are served
	 */
	public OwnedServices(long now, DaemonId self, Region region, QueueOrder order) {
		this.self = self;
		this.region = region;
		this.order = order;
		this.voter = new TenureVoter(now);
	}

	@Override
	public List<DispatchEffect> handle(long now, OwnerInput input) {
		return switch (input) {
			case OwnerInput.Received received -> handleMessage(now, received.sender(), received.message());
			case OwnerInput.ServiceChanged changed -> onServiceChanged(now, changed.service());
			case OwnerInput.ServiceRemoved removed -> {
				this.services.remove(removed.service());
				this.owners.remove(removed.service());
				this.health.remove(removed.service());
				this.allocators.remove(removed.service());
				this.registers.remove(removed.service());
				yield List.of();
			}
			case OwnerInput.HealthChanged changed -> {
				this.health.put(changed.service(), changed.servers());
				SlotAllocator allocator = this.allocators.get(changed.service());
				yield (allocator != null) ? allocator.handle(now, new AllocatorInput.HealthChanged(changed.servers()))
						: List.of();
			}
			case OwnerInput.OwnersChanged changed -> onOwnersChanged(now, changed.service(), changed.owners());
			case OwnerInput.DaemonsChanged changed -> {
				this.daemons = changed;
				RegisterInput forRegister = new RegisterInput.DaemonsChanged(changed.live(), changed.declared());
				this.registers.values().forEach((register) -> register.handle(now, forRegister));
				yield List.of();
			}
			case OwnerInput.DaemonDead dead -> {
				List<DispatchEffect> effects = new ArrayList<>();
				this.allocators.values()
					.forEach((allocator) -> effects
						.addAll(allocator.handle(now, new AllocatorInput.DaemonDead(dead.daemon()))));
				yield effects;
			}
			case OwnerInput.Paused _ -> {
				this.voter.onPaused(now);
				yield List.of();
			}
		};
	}

	@Override
	public List<DispatchEffect> tick(long now) {
		List<DispatchEffect> effects = new ArrayList<>();
		for (SlotAllocator allocator : this.allocators.values()) {
			if (allocator.nextTick() <= now) {
				effects.addAll(allocator.tick(now));
			}
		}
		for (IdempotencyKeyRegister register : this.registers.values()) {
			if (register.nextTick() <= now) {
				effects.addAll(register.tick(now));
			}
		}
		return effects;
	}

	@Override
	public long nextTick() {
		long next = NO_TIMER;
		for (SlotAllocator allocator : this.allocators.values()) {
			next = Math.min(next, allocator.nextTick());
		}
		for (IdempotencyKeyRegister register : this.registers.values()) {
			next = Math.min(next, register.nextTick());
		}
		return next;
	}

	/**
	 * Returns the allocator of a service.
	 * @param service the service
	 * @return the allocator, or {@code null} if this daemon has none
	 */
	public @Nullable SlotAllocator allocator(ServiceName service) {
		return this.allocators.get(service);
	}

	/**
	 * Returns the register of a service.
	 * @param service the service
	 * @return the register, or {@code null} if this daemon has none
	 */
	public @Nullable IdempotencyKeyRegister register(ServiceName service) {
		return this.registers.get(service);
	}

	private List<DispatchEffect> handleMessage(long now, DaemonId sender, DispatchMessage message) {
		return switch (message) {
			case DispatchMessage.SlotRequest request ->
				handleSlotMessage(now, sender, message, request.service(), true);
			case DispatchMessage.OutcomeReport report ->
				handleSlotMessage(now, sender, message, report.service(), true);
			case DispatchMessage.SlotCancel cancel -> handleSlotMessage(now, sender, message, cancel.service(), false);
			case DispatchMessage.SlotRelease release ->
				handleSlotMessage(now, sender, message, release.service(), false);
			case DispatchMessage.KeyRegistration registration ->
				handleKeyMessage(now, sender, message, registration.service());
			case DispatchMessage.KeyQuery query -> handleKeyMessage(now, sender, message, query.service());
			case DispatchMessage.KeyOutcome outcome -> handleKeyMessage(now, sender, message, outcome.service());
			case DispatchMessage.RegisterTransfer transfer ->
				handleKeyMessage(now, sender, message, transfer.service());
			case DispatchMessage.TransferReceived transfer ->
				handleKeyMessage(now, sender, message, transfer.service());
			case DispatchMessage.TransferCompleted transfer ->
				handleKeyMessage(now, sender, message, transfer.service());
			case DispatchMessage.TenureReply reply -> handleKeyMessage(now, sender, message, reply.service());
			case DispatchMessage.TenureRequest request ->
				List.of(new DispatchEffect.Send(sender, this.voter.handleRequest(now, sender, request)));
			case DispatchMessage.TenureRelease release -> {
				this.voter.handleRelease(now, sender, release.service());
				yield List.of();
			}
			case DispatchMessage.SlotGrant _, DispatchMessage.SlotQueued _, DispatchMessage.SlotRefusal _,
					DispatchMessage.DispatchAdvice _, DispatchMessage.KeyVerdict _ ->
				List.of();
		};
	}

	private List<DispatchEffect> handleSlotMessage(long now, DaemonId sender, DispatchMessage message, ServiceName name,
			boolean createIfAbsent) {
		Service service = this.services.get(name);
		if (service == null) {
			return List.of();
		}
		List<DispatchEffect> effects = new ArrayList<>();
		SlotAllocator allocator = this.allocators.get(name);
		if (allocator == null && createIfAbsent) {
			allocator = new SlotAllocator(now, service, this.region, this.order);
			effects.addAll(
					allocator.handle(now, new AllocatorInput.HealthChanged(this.health.getOrDefault(name, List.of()))));
			this.allocators.put(name, allocator);
		}
		if (allocator != null) {
			effects.addAll(allocator.handle(now, new AllocatorInput.Received(sender, message)));
		}
		return effects;
	}

	private List<DispatchEffect> handleKeyMessage(long now, DaemonId sender, DispatchMessage message,
			ServiceName name) {
		Service service = this.services.get(name);
		OwnerInput.DaemonsChanged currentDaemons = this.daemons;
		if (service == null || currentDaemons == null) {
			return List.of();
		}
		IdempotencyKeyRegister register = this.registers.get(name);
		if (register == null) {
			register = new IdempotencyKeyRegister(name, this.self, service.keyLifetime());
			register.handle(now, new RegisterInput.DaemonsChanged(currentDaemons.live(), currentDaemons.declared()));
			this.registers.put(name, register);
		}
		return register.handle(now, new RegisterInput.Received(sender, message));
	}

	private List<DispatchEffect> onServiceChanged(long now, Service service) {
		this.services.put(service.name(), service);
		IdempotencyKeyRegister register = this.registers.get(service.name());
		if (register != null) {
			register.handle(now, new RegisterInput.LifetimeChanged(service.keyLifetime()));
		}
		SlotAllocator allocator = this.allocators.get(service.name());
		return (allocator != null) ? allocator.handle(now, new AllocatorInput.ServiceChanged(service)) : List.of();
	}

	private List<DispatchEffect> onOwnersChanged(long now, ServiceName name, List<DaemonId> ranked) {
		List<DaemonId> previousOwners = this.owners.getOrDefault(name, List.of());
		this.owners.put(name, ranked);
		boolean wasOwner = !previousOwners.isEmpty() && previousOwners.getFirst().equals(this.self);
		boolean isOwner = !ranked.isEmpty() && ranked.getFirst().equals(this.self);
		if (wasOwner == isOwner) {
			return List.of();
		}
		List<DispatchEffect> effects = new ArrayList<>();
		if (isOwner) {
			IdempotencyKeyRegister previousRegister = this.registers.get(name);
			if (previousRegister != null && previousRegister.isHandedOver()) {
				this.registers.remove(name);
			}
		}
		else {
			IdempotencyKeyRegister register = this.registers.get(name);
			if (register != null && !ranked.isEmpty()) {
				effects.addAll(register.handle(now, new RegisterInput.HandOver(ranked.getFirst())));
			}
			SlotAllocator allocator = this.allocators.get(name);
			if (allocator != null && allocator.isIdle()) {
				this.allocators.remove(name);
			}
		}
		Map<String, String> evidence = Map.of("owner", ranked.isEmpty() ? "none" : ranked.getFirst().toString());
		effects.add(new DispatchEffect.Audit(new AuditEntry(now, AuditKind.OWNERSHIP, name.value(), Step.MEMBERSHIP,
				this.self.toString(), evidence)));
		return effects;
	}

}
