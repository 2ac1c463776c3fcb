package org.wigeonmast.admin;

import java.util.List;
import java.util.Map;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.AuditKind;
import org.wigeonmast.core.MillisecondClock;
import org.wigeonmast.core.Step;

class AuditTrailTests {

	private final AuditTrail trail = new AuditTrail(MillisecondClock.system(), 3);

	private void add(int count) {
		for (int i = 0; i < count; i++) {
			this.trail.add(new AuditEntry(i, AuditKind.EJECTED, "rb-" + i, Step.HEALTH, "d1", Map.of()));
		}
	}

	private List<Long> since(long number, int limit) {
		return this.trail.recordsSince(number, limit).stream().map(AuditRecord::number).toList();
	}

	/**
	 * Guards against a trail that grows without bound or returns entries out of order.
	 */
	@Test
	void oldestEntriesAreOverwrittenFirst() {
		Truth.assertThat(since(0, 9)).isEmpty();
		add(5);
		Truth.assertThat(since(0, 9)).containsExactly(3L, 4L, 5L).inOrder();
		Truth.assertThat(since(4, 9)).containsExactly(5L);
		Truth.assertThat(since(5, 9)).isEmpty();
		Truth.assertThat(since(-7, 2)).containsExactly(3L, 4L).inOrder();
		Truth.assertThat(since(Long.MAX_VALUE, 9)).isEmpty();
	}

}
