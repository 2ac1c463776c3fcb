package org.wigeonmast.balance.peer;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;

/**
 * Encodes datagrams in the format of protocol buffers. Generated classes are not used, so
 * that a daemon starts without loading them; unknown fields are skipped as there.
 * <p>
 * Thread safety: stateless.
 */
public final class PeerMessageCodec {

	private static final int SENDER = 1;

	private static final int REVISION = 2;

	private static final int MEMBER = 3;

	private static final int NEWS = 4;

	private static final int ADDRESS = 1;

	private static final int PORT = 2;

	private static final int REGION = 3;

	private static final int DOMAIN = 4;

	private static final int LEAVING = 5;

	private static final int AGE = 6;

	private static final int SERVER = 1;

	private static final int KIND = 2;

	private PeerMessageCodec() {
	}

	/**
	 * Encodes a message.
	 * @param message the message
	 * @return the bytes
	 */
	public static byte[] encode(PeerMessage message) {
		return write((out) -> {
			out.writeByteArray(SENDER, peer(message.sender(), 0));
			out.writeSInt64(REVISION, message.revision());
			for (PeerMessage.Heard heard : message.members()) {
				out.writeByteArray(MEMBER, peer(heard.peer(), heard.age()));
			}
			for (ServerNews news : message.news()) {
				out.writeByteArray(NEWS, write((inner) -> {
					inner.writeString(SERVER, news.server().value());
					inner.writeEnum(KIND, news.kind().ordinal());
				}));
			}
		});
	}

	/**
	 * Decodes a message.
	 * @param bytes the bytes
	 * @return the message
	 * @throws IOException if the bytes are not a message
	 */
	public static PeerMessage decode(byte[] bytes) throws IOException {
		CodedInputStream in = CodedInputStream.newInstance(bytes);
		PeerMessage.Heard sender = null;
		long revision = -1;
		List<PeerMessage.Heard> members = new ArrayList<>();
		List<ServerNews> news = new ArrayList<>();
		for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
			switch (WireFormat.getTagFieldNumber(tag)) {
				case SENDER -> sender = readPeer(in.readByteArray());
				case REVISION -> revision = in.readSInt64();
				case MEMBER -> members.add(readPeer(in.readByteArray()));
				case NEWS -> news.add(readNews(in.readByteArray()));
				default -> in.skipField(tag);
			}
		}
		if (sender == null) {
			throw new IOException("The sender is missing");
		}
		return new PeerMessage(sender.peer(), revision, members, news);
	}

	private static byte[] peer(Peer peer, long age) {
		return write((out) -> {
			out.writeString(ADDRESS, peer.address().address());
			out.writeUInt32(PORT, peer.address().port());
			out.writeString(REGION, peer.failureDomain().region().name());
			out.writeString(DOMAIN, peer.failureDomain().name());
			out.writeBool(LEAVING, peer.leaving());
			out.writeUInt64(AGE, age);
		});
	}

	private static PeerMessage.Heard readPeer(byte[] bytes) throws IOException {
		CodedInputStream in = CodedInputStream.newInstance(bytes);
		String address = "";
		int port = 0;
		String region = "";
		String domain = "";
		boolean leaving = false;
		long age = 0;
		for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
			switch (WireFormat.getTagFieldNumber(tag)) {
				case ADDRESS -> address = in.readString();
				case PORT -> port = in.readUInt32();
				case REGION -> region = in.readString();
				case DOMAIN -> domain = in.readString();
				case LEAVING -> leaving = in.readBool();
				case AGE -> age = in.readUInt64();
				default -> in.skipField(tag);
			}
		}
		if (address.isEmpty() || port <= 0 || age < 0) {
			throw new IOException("A daemon has no usable address or age");
		}
		return new PeerMessage.Heard(
				new Peer(new HostAddress(address, port), new FailureDomain(new Region(region), domain), leaving), age);
	}

	private static ServerNews readNews(byte[] bytes) throws IOException {
		CodedInputStream in = CodedInputStream.newInstance(bytes);
		String server = "";
		int kind = -1;
		for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
			switch (WireFormat.getTagFieldNumber(tag)) {
				case SERVER -> server = in.readString();
				case KIND -> kind = in.readEnum();
				default -> in.skipField(tag);
			}
		}
		if (server.isEmpty() || kind < 0 || kind >= ServerNews.Kind.values().length) {
			throw new IOException("News has no server or an unknown kind");
		}
		return new ServerNews(new BackendServerId(server), ServerNews.Kind.values()[kind]);
	}

	private static byte[] write(Writer writer) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		CodedOutputStream out = CodedOutputStream.newInstance(bytes);
		try {
			writer.write(out);
			out.flush();
		}
		catch (IOException exception) {
			throw new UncheckedIOException("Writing to memory cannot fail", exception);
		}
		return bytes.toByteArray();
	}

	/** Writes fields. */
	@FunctionalInterface
	private interface Writer {

		void write(CodedOutputStream out) throws IOException;

	}

}
