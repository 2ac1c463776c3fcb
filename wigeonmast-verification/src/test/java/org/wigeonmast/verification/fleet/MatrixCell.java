package org.wigeonmast.verification.fleet;

import java.util.List;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.manifest.Manifest;

/**
 * One fault at one step.
 * <p>
 * Thread safety: none. Invariant: the fault begins once, when the step is first reached.
 */
final class MatrixCell {

	static final List<String> REQUEST_STEPS = List.of("accept", "acquire slot", "queue", "connect", "send",
			"wait for response", "stream response", "end");

	static final List<String> MANIFEST_STEPS = List.of("publish", "read", "spread", "apply");

	/** Time in milliseconds before the step. */
	static final long START = 20_000;

	/** Time in milliseconds for which the fault lasts. */
	static final long FAULT_TIME = 6000;

	private static final long CHANGE_TIME = 8000;

	private static final int LOAD = 24;

	private final VirtualFleet fleet = new VirtualFleet(1);

	private final MatrixFault fault;

	private final String step;

	private List<String> violations = List.of();

	private boolean begun;

	MatrixCell(MatrixFault fault, String step) {
		this.fault = fault;
		this.step = step;
	}

	String run() {
		this.fleet.run(START);
		String seen = REQUEST_STEPS.contains(this.step) ? request() : manifest();
		this.violations = this.fleet.settle();
		String reached = this.begun ? "" : ", step not reached";
		return seen + reached + (this.violations.isEmpty() ? "" : ", **oracle objects**");
	}

	List<String> violations() {
		return this.violations;
	}

	private String request() {
		if (this.step.equals("queue")) {
			for (int index = 0; index < LOAD; index++) {
				this.fleet.request(1 + index % 2, true, true);
			}
			this.fleet.run(20);
		}
		watch();
		// Long work always needs a grant, so that it passes every step.
		RequestId request = this.fleet.request(0, false, true);
		this.fleet.run(FAULT_TIME);
		for (int index = 0; index < VirtualFleet.DAEMONS; index++) {
			this.fleet.resume(index);
		}
		this.fleet.run(FAULT_TIME);
		return (request != null) ? VirtualFleet.words(this.fleet.oracle.outcome(request)) : "refused connection";
	}

	private String manifest() {
		watch();
		if (this.step.equals("publish")) {
			begin();
		}
		this.fleet.publish();
		long start = this.fleet.queue.milliseconds();
		while (!inForce() && this.fleet.queue.milliseconds() < start + CHANGE_TIME) {
			this.fleet.run(1);
		}
		return inForce() ? this.fleet.queue.milliseconds() - start + " ms" : "not in 8 s";
	}

	private boolean inForce() {
		return this.fleet.daemons.stream().allMatch((daemon) -> {
			Manifest routing = daemon.core.routingManifest();
			return daemon.dead || (routing != null && routing.version() == this.fleet.published());
		});
	}

	private void watch() {
		String observed = switch (this.step) {
			case "acquire slot" -> "DISPATCH";
			case "queue" -> "accept";
			case "wait for response" -> "await";
			case "stream response" -> "stream";
			case "read" -> "store";
			case "spread" -> "MANIFEST";
			default -> this.step;
		};
		Consumer<String> previous = this.fleet.faults.reached;
		this.fleet.faults.reached = (reached) -> {
			previous.accept(reached);
			if (reached.equals(observed)) {
				// After the code that reached the step, as a fault from outside.
				this.fleet.queue.schedule(0, this::begin);
			}
		};
		if (this.step.equals("apply")) {
			awaitApplied();
		}
	}

	private void awaitApplied() {
		@Nullable Manifest routing = this.fleet.daemons.get(0).core.routingManifest();
		if (routing != null && routing.version() == 2) {
			begin();
		}
		else if (!this.fleet.daemons.get(0).dead) {
			this.fleet.queue.schedule(1000, this::awaitApplied);
		}
	}

	private void begin() {
		if (!this.begun) {
			this.begun = true;
			this.fault.begin().accept(this.fleet);
		}
	}

}
