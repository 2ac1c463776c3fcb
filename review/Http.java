import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Reading of HTTP/1.1 messages from a socket. */
final class Http {

	private Http() {
	}

	/** A message; the body is null if it was not read. */
	static final class Message {

		String startLine;

		final List<String[]> headers = new ArrayList<>();

		byte[] body;

		String header(String name) {
			for (String[] header : this.headers) {
				if (header[0].equals(name.toLowerCase(Locale.ROOT))) {
					return header[1];
				}
			}
			return null;
		}

		int status() {
			return Integer.parseInt(this.startLine.split(" ")[1]);
		}

		String method() {
			return this.startLine.split(" ")[0];
		}

		String target() {
			return this.startLine.split(" ")[1];
		}

	}

	/** Reads a head, or returns null if the connection ended before its first byte. */
	static Message readHead(InputStream in) throws IOException {
		String line = readLine(in);
		if (line == null) {
			return null;
		}
		Message message = new Message();
		message.startLine = line;
		for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
			int colon = line.indexOf(':');
			message.headers.add(new String[] { line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
					line.substring(colon + 1).trim() });
		}
		if (line == null) {
			throw new EOFException("the connection ended inside a head");
		}
		return message;
	}

	/** Reads the whole body; fails if the connection ends before it is complete. */
	static void readBody(InputStream in, Message message, boolean answer) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
			for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
				copy(in, size, body);
				readLine(in);
			}
			for (String line = readLine(in); line == null || !line.isEmpty(); line = readLine(in)) {
				if (line == null) {
					throw new EOFException("the connection ended inside the trailer");
				}
			}
		}
		else if (message.header("Content-Length") != null) {
			copy(in, Integer.parseInt(message.header("Content-Length")), body);
		}
		else if (answer) {
			in.transferTo(body);
		}
		message.body = body.toByteArray();
	}

	private static int chunkSize(InputStream in) throws IOException {
		String line = readLine(in);
		if (line == null) {
			throw new EOFException("the connection ended between chunks");
		}
		return Integer.parseInt(line.trim(), 16);
	}

	private static void copy(InputStream in, int count, ByteArrayOutputStream out) throws IOException {
		byte[] bytes = in.readNBytes(count);
		if (bytes.length < count) {
			throw new EOFException("the connection ended inside the body, after " + bytes.length + " of " + count);
		}
		out.write(bytes);
	}

	private static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int next = in.read();
		if (next < 0) {
			return null;
		}
		while (next >= 0 && next != '\n') {
			line.write(next);
			next = in.read();
		}
		String text = line.toString(StandardCharsets.ISO_8859_1);
		return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
	}

}
