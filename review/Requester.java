import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Requests on new connections. */
final class Requester {

	private Requester() {
	}

	/** What a requester saw of one request. */
	static final class Outcome {

		/** The answer, or null. */
		Http.Message answer;

		/** Why there is no complete answer, or null. */
		String failure;

		boolean connected;

		double sentAt;

		double endedAt;

	}

	static Outcome send(DaemonProcess daemon, String method, String host, String path, String attempt, int deadlineMs,
			byte[] body, Record record) {
		Outcome outcome = new Outcome();
		outcome.sentAt = record.seconds();
		try (Socket socket = new Socket()) {
			socket.setTcpNoDelay(true);
			socket.connect(new InetSocketAddress(daemon.ip, daemon.front), 1000);
			outcome.connected = true;
			socket.setSoTimeout(deadlineMs);
			byte[] head = (method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + attempt
					+ "\r\nX-Deadline-Ms: " + deadlineMs + "\r\nContent-Length: " + body.length + "\r\n\r\n")
				.getBytes(StandardCharsets.US_ASCII);
			byte[] bytes = new byte[head.length + body.length];
			System.arraycopy(head, 0, bytes, 0, head.length);
			System.arraycopy(body, 0, bytes, head.length, body.length);
			record.log("requester sends " + attempt + " " + method + " " + host + path + " to " + daemon.name);
			outcome.sentAt = record.seconds();
			socket.getOutputStream().write(bytes);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			Http.Message answer = Http.readHead(in);
			if (answer == null) {
				throw new IOException("the connection ended without an answer");
			}
			Http.readBody(in, answer, true);
			outcome.answer = answer;
		}
		catch (IOException exception) {
			outcome.failure = exception.toString();
		}
		outcome.endedAt = record.seconds();
		record.log("requester of " + attempt + " gets "
				+ ((outcome.answer != null) ? outcome.answer.startLine : outcome.failure));
		return outcome;
	}

}
