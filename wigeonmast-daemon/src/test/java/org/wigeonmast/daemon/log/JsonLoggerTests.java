package org.wigeonmast.daemon.log;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.truth.Truth;
import org.apache.logging.log4j.message.StringMapMessage;
import org.apache.logging.log4j.spi.ExtendedLogger;
import org.junit.jupiter.api.Test;

/** Tests of {@link JsonLogger} and its queue. */
class JsonLoggerTests {

	/**
	 * Guards against lines that are not valid JSON, for example because of quotes or line
	 * breaks.
	 */
	@Test
	void eachEventIsOneJsonObject() throws Exception {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		JsonLogContext context = new JsonLogContext(new LineQueue(out, 10));
		ExtendedLogger logger = context.getLogger("a.b");
		logger.info(new StringMapMessage().with("event", 1200).with("message", "quote \" and\nline"));
		logger.debug("not enabled");
		logger.warn("plain {}", 5, new IllegalStateException("why"));
		context.terminate();
		String[] lines = out.toString(StandardCharsets.UTF_8).split("\n");
		Truth.assertThat(lines).hasLength(2);
		JsonNode first = new ObjectMapper().readTree(lines[0]);
		Truth.assertThat(first.path("entry").path("message").asText()).isEqualTo("quote \" and\nline");
		Truth.assertThat(first.path("logger").asText()).isEqualTo("a.b");
		JsonNode second = new ObjectMapper().readTree(lines[1]);
		Truth.assertThat(second.path("entry").path("message").asText()).isEqualTo("plain 5");
		Truth.assertThat(second.path("exception").asText()).contains("why");
	}

	/** Guards against requests that block because standard output is not read. */
	@Test
	void fullQueueDropsAndCounts() throws Exception {
		CountDownLatch read = new CountDownLatch(1);
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		LineQueue queue = new LineQueue(new OutputStream() {
			@Override
			public void write(int value) {
				out.write(value);
			}

			@Override
			public void write(byte[] bytes, int offset, int length) {
				try {
					read.await();
				}
				catch (InterruptedException exception) {
					Thread.currentThread().interrupt();
				}
				out.write(bytes, offset, length);
			}
		}, 4);
		for (int i = 0; i < 100; i++) {
			queue.add("{\"line\":" + i + "}");
		}
		read.countDown();
		queue.close();
		Truth.assertThat(out.toString(StandardCharsets.UTF_8)).contains("log lines were dropped");
	}

}
