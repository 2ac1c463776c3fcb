package org.wigeonmast.daemon.internal;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.core.RequestOutcome;
import org.wigeonmast.dispatch.RequestDescription;
import org.wigeonmast.limit.LimitCodec;
import org.wigeonmast.limit.LimitEffect;
import org.wigeonmast.limit.LimitInput;
import org.wigeonmast.limit.LimitMessage;
import org.wigeonmast.limit.LimitSubject;
import org.wigeonmast.limit.RateLimiter;
import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.manifest.Service;
import org.wigeonmast.membership.Member;
import org.wigeonmast.membership.MemberPhase;
import org.wigeonmast.wire.Slice;

/**
 * Shell of the rate limits of callers and services.
 * <p>
 * Thread safety: confined to the control loop.
 */
final class LimitShell {

	private final EventLog log = new EventLog(LimitShell.class);

	private final ComponentDriver<LimitInput, LimitEffect> driver;

	private final SliceEndpoint<LimitMessage> endpoint;

	private final Consumer<AuditEntry> audit;

	private @Nullable LimitEffect decision;

	LimitShell(ControlLoop control, DaemonId self, PeerMessenger messenger, Consumer<AuditEntry> audit) {
		this.audit = audit;
		this.driver = new ComponentDriver<>(control, new RateLimiter(self), this::applyEffect);
		this.endpoint = messenger.register(Slice.LIMIT, new LimitCodec(),
				(from, message) -> this.driver.handle(new LimitInput.Received(from.id(), message)));
	}

	void start() {
		this.driver.start();
	}

	void stop() {
		this.driver.stop();
	}

	void onMembersChanged(Collection<Member> live) {
		this.driver.handle(new LimitInput.MembersChanged(live.stream()
			.filter((member) -> member.phase() == MemberPhase.READY)
			.map(Member::id)
			.sorted()
			.toList()));
	}

	/**
	 * Checks a request against the limits that apply to it.
	 * @param manifest the manifest in force
	 * @param request the request
	 * @return the refusal, or {@code null} if the request may pass
	 */
	RequestOutcome.@Nullable NotRun check(Manifest manifest, RequestDescription request) {
		Map<LimitSubject, Long> limits = new HashMap<>();
		long callerLimit = manifest.callerLimit(request.caller());
		if (callerLimit > 0) {
			limits.put(new LimitSubject(LimitSubject.Kind.CALLER, request.caller().value()), callerLimit);
		}
		Service service = manifest.service(request.service());
		if (service != null && service.requestsPerSecond() > 0) {
			limits.put(new LimitSubject(LimitSubject.Kind.SERVICE, request.service().value()),
					service.requestsPerSecond());
		}
		if (limits.isEmpty()) {
			return null;
		}
		this.decision = null;
		this.driver.handle(new LimitInput.Check(request.id(), limits));
		if (this.decision instanceof LimitEffect.Refused refused) {
			return new RequestOutcome.NotRun("the request rate is over the limit " + refused.subject(),
					refused.retryAfterMs());
		}
		return null;
	}

	private void applyEffect(LimitEffect effect) {
		switch (effect) {
			case LimitEffect.Admitted _, LimitEffect.Refused _ -> this.decision = effect;
			case LimitEffect.Send send -> this.endpoint.send(send.receiver(), send.message());
			case LimitEffect.Audit entry -> this.audit.accept(entry.entry());
			case LimitEffect.Logged logged -> this.log.log(logged.event(), logged.parameters().toArray());
		}
	}

}
