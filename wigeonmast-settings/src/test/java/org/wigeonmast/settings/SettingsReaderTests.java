package org.wigeonmast.settings;

import java.nio.charset.StandardCharsets;
import java.util.List;

import com.google.common.truth.Truth;
import io.vavr.control.Either;
import org.junit.jupiter.api.Test;
import org.wigeonmast.core.HostAddress;

class SettingsReaderTests {

	static final String COMPLETE = """
			[daemon]
			name = entry-01
			region = addis
			failure-domain = a
			[callers]
			address = 0.0.0.0
			port = 8080
			[peers]
			address = 10.0.0.5
			port = 7400
			seeds = 10.0.0.5:7400, [fd00::6]:7400 ; the first two hosts
			shared-key = MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY=
			[admin]
			address = 127.0.0.1
			port = 8081
			[store]
			base-url = http://10.0.0.9:9000/
			call-timeout = 500 ms
			[limits]
			head-size = 8KiB
			""";

	static Either<List<SettingsError>, DaemonSettings> read(String text) {
		return new SettingsReader().read("test.ini", text.getBytes(StandardCharsets.UTF_8));
	}

	@Test
	void completeFileIsRead() {
		DaemonSettings settings = read(COMPLETE).getOrElseThrow((errors) -> new AssertionError(errors.toString()));
		Truth.assertThat(settings.failureDomain().toString()).isEqualTo("addis/a");
		Truth.assertThat(settings.peers().seeds())
			.containsExactly(new HostAddress("10.0.0.5", 7400), new HostAddress("fd00::6", 7400))
			.inOrder();
		Truth.assertThat(settings.store().baseUrl().toString()).isEqualTo("http://10.0.0.9:9000");
		Truth.assertThat(settings.store().callTimeout()).isEqualTo(500);
		Truth.assertThat(settings.limits().headSize()).isEqualTo(8192);
	}

	/**
	 * Guards against defaults in SettingsKeys that differ from those of the settings
	 * records.
	 */
	@Test
	void defaultsEqualThoseOfTheRecords() {
		DaemonSettings settings = read(COMPLETE.replace("call-timeout = 500 ms", "").replace("head-size = 8KiB", ""))
			.getOrElseThrow((errors) -> new AssertionError(errors.toString()));
		Truth.assertThat(settings.limits()).isEqualTo(LimitSettings.defaults());
		Truth.assertThat(settings.store()).isEqualTo(new StoreSettings(settings.store().baseUrl()));
	}

}
