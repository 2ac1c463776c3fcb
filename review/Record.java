import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Log of a case: what was sent, answered and run, each line with the seconds since the start. */
final class Record implements AutoCloseable {

	private final PrintWriter out;

	private final long startNanos = System.nanoTime();

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file));
	}

	synchronized void log(String text) {
		this.out.printf(Locale.ROOT, "%9.3f  %s%n", seconds(), text);
		this.out.flush();
	}

	/** Returns the seconds since the start. */
	double seconds() {
		return (System.nanoTime() - this.startNanos) / 1e9;
	}

	@Override
	public void close() {
		this.out.close();
	}

}
