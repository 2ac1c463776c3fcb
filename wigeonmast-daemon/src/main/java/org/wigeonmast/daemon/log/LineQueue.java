package org.wigeonmast.daemon.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounded queue of log lines, written to an output stream by a dedicated thread.
 * <p>
 * Thread safety: usable from any thread. Invariants: adding a line never blocks; a line
 * added to a full queue is dropped and counted, and the count is written after the next
 * lines.
 */
final class LineQueue implements AutoCloseable {

	/** Maximum number of queued lines. */
	static final int CAPACITY = 4096;

	private static final String END_MARKER = "";

	private static final long CLOSE_TIMEOUT_MS = 500;

	private final BlockingQueue<String> lines;

	private final AtomicLong dropped = new AtomicLong();

	private final OutputStream out;

	private final Thread writer;

	LineQueue(OutputStream out, int capacity) {
		this.out = out;
		this.lines = new ArrayBlockingQueue<>(capacity);
		this.writer = new Thread(this::writeLines, "log");
		this.writer.setDaemon(true);
		this.writer.start();
	}

	/**
	 * Adds a line.
	 * @param line the line without a line terminator
	 */
	void add(String line) {
		if (!this.lines.offer(line)) {
			this.dropped.incrementAndGet();
		}
	}

	/** Writes the queued lines, waiting for at most {@link #CLOSE_TIMEOUT_MS}. */
	@Override
	public void close() {
		try {
			this.lines.offer(END_MARKER);
			this.writer.join(CLOSE_TIMEOUT_MS);
		}
		catch (InterruptedException exception) {
			Thread.currentThread().interrupt();
		}
	}

	private void writeLines() {
		List<String> batch = new ArrayList<>();
		boolean ended = false;
		try {
			while (!ended) {
				batch.add(this.lines.take());
				this.lines.drainTo(batch);
				StringBuilder text = new StringBuilder();
				for (String line : batch) {
					ended |= line.isEmpty();
					text.append(line).append(line.isEmpty() ? "" : "\n");
				}
				long lost = this.dropped.getAndSet(0);
				if (lost > 0) {
					text.append("{\"level\":\"WARN\",\"entry\":{\"name\":\"LINES_DROPPED\",\"message\":\"")
						.append(lost)
						.append(" log lines were dropped because standard output was not read\"}}\n");
				}
				this.out.write(text.toString().getBytes(StandardCharsets.UTF_8));
				batch.clear();
			}
		}
		catch (InterruptedException exception) {
			Thread.currentThread().interrupt();
		}
		catch (IOException exception) {
			// Standard output is closed, so the failure cannot be logged.
			this.dropped.incrementAndGet();
		}
	}

}
