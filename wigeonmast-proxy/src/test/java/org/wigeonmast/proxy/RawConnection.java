package org.wigeonmast.proxy;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;

import org.wigeonmast.core.HostAddress;

/**
 * Socket that sends and receives raw bytes, as a caller or as a backend server.
 * <p>
 * Thread safety: none.
 */
final class RawConnection implements AutoCloseable {

	private final Socket socket;

	private final InputStream input;

	RawConnection(Socket socket) throws IOException {
		this.socket = socket;
		this.socket.setSoTimeout(Awaiting.TIMEOUT_SECONDS * 1000);
		this.socket.setTcpNoDelay(true);
		this.input = new BufferedInputStream(socket.getInputStream());
	}

	static RawConnection to(HostAddress address) throws IOException {
		return new RawConnection(new Socket(InetAddress.getLoopbackAddress(), address.port()));
	}

	void write(String text) throws IOException {
		write(text.getBytes(StandardCharsets.ISO_8859_1));
	}

	void write(byte[] bytes) throws IOException {
		this.socket.getOutputStream().write(bytes);
		this.socket.getOutputStream().flush();
	}

	/**
	 * Reads a head up to its empty line.
	 * @return the head with the empty line, or the bytes before the end of the stream
	 */
	String readHead() throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = this.input.read();
			if (next < 0) {
				return head.toString();
			}
			head.append((char) next);
		}
		return head.toString();
	}

	/**
	 * Reads a message whose body, if any, has a Content-Length.
	 * @return the head and the body
	 */
	String readMessage() throws IOException {
		String head = readHead();
		if (head.isEmpty()) {
			throw new SocketException("The stream has ended");
		}
		String length = header(head, "content-length");
		return head + new String(read(length.isEmpty() ? 0 : Integer.parseInt(length)), StandardCharsets.ISO_8859_1);
	}

	byte[] read(int length) throws IOException {
		return this.input.readNBytes(length);
	}

	/**
	 * Reads to the end of the stream.
	 * @return the text, with {@code <reset>} at the end if the connection was reset
	 */
	String readAll() throws IOException {
		ByteArrayOutputStream all = new ByteArrayOutputStream();
		try {
			this.input.transferTo(all);
		}
		catch (SocketException exception) {
			all.write("<reset>".getBytes(StandardCharsets.ISO_8859_1));
		}
		return all.toString(StandardCharsets.ISO_8859_1);
	}

	/**
	 * Returns the value of a header field.
	 * @param head the head
	 * @param name the name in lower case
	 * @return the value, or an empty text
	 */
	static String header(String head, String name) {
		return head.lines()
			.filter((line) -> line.toLowerCase().startsWith(name + ":"))
			.map((line) -> line.substring(name.length() + 1).trim())
			.findFirst()
			.orElse("");
	}

	/** Ends the stream that this side sends; the other direction stays open. */
	void endOutput() throws IOException {
		this.socket.shutdownOutput();
	}

	/** Closes the connection with a reset. */
	void reset() throws IOException {
		this.socket.setSoLinger(true, 0);
		this.socket.close();
	}

	@Override
	public void close() {
		try {
			this.socket.close();
		}
		catch (IOException exception) {
			throw new AssertionError(exception);
		}
	}

}
