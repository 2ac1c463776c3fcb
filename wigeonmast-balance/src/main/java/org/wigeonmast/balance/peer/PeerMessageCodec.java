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
import org.wigeonmast.core.ServiceName;

/**
 * Codec of datagrams in the wire format of Protocol Buffers. It does without generated
 * classes, whose loading would delay the start of a daemon. Unknown fields are skipped,
 * as generated classes do.
 * <p>
 * Thread safety: stateless.
 */
public final class PeerMessageCodec {

	// Field numbers of a message.

	private static final int SENDER = 1;

	private static final int REVISION = 2;

	private static final int DOMAIN_NAME = 3;

	private static final int MEMBER = 4;

	private static final int OBSERVATION = 5;

	private static final int REVISION_AGE = 6;

	private static final int SUSPICION = 7;

	private static final int STEADY_FOR = 8;

	private static final int LOAD = 9;

	private static final int MESSAGE_KIND = 10;

	private static final int MEMBERS_DIGEST = 11;

	// Field numbers of a daemon.

	private static final int ADDRESS = 1;

	private static final int PORT = 2;

	private static final int DOMAIN = 3;

	private static final int STATE = 4;

	private static final int INCARNATION = 5;

	// Field numbers of observations and suspicions.

	private static final int SERVER = 1;

	private static final int KIND = 2;

	private static final int PERCENT = 2;

	private static final int EVIDENCE_AGE = 3;

	// Field numbers of a load.

	private static final int SERVICE = 1;

	private static final int RATE = 2;

	/** Units of a rate on the wire: hundredths of a request per second. */
	private static final double RATE_UNITS_PER_REQUEST = 100;

	private static final int MAX_PERCENT = 100;

	private static final int MAX_PORT = 65_535;

	/** Maximum incarnation, so that a daemon can always state a higher one. */
	private static final long MAX_INCARNATION = 1L << 48;

	private static final char REGION_SEPARATOR = '/';

	private static final int OCTETS_PER_ADDRESS = 4;

	private PeerMessageCodec() {
	}

	/**
	 * Encodes a message. The name of a failure domain is written once and then referred
	 * to by its index; a port is written only if it differs from the sender's.
	 * @param message the message
	 * @return the encoded bytes
	 */
	public static byte[] encode(PeerMessage message) {
		List<FailureDomain> domains = new ArrayList<>();
		domains.add(message.sender().peer().failureDomain());
		for (Member member : message.members()) {
			if (!domains.contains(member.peer().failureDomain())) {
				domains.add(member.peer().failureDomain());
			}
		}
		return write((out) -> {
			for (FailureDomain domain : domains) {
				out.writeString(DOMAIN_NAME, domain.region().name() + REGION_SEPARATOR + domain.name());
			}
			out.writeEnum(MESSAGE_KIND, message.kind().ordinal());
			out.writeByteArray(SENDER, encodeMember(message.sender(), domains, 0));
			if (message.membersDigest() != 0) {
				out.writeFixed32(MEMBERS_DIGEST, message.membersDigest());
			}
			out.writeSInt64(REVISION, message.revision());
			out.writeUInt64(REVISION_AGE, message.revisionAge());
			out.writeUInt64(STEADY_FOR, message.steadyFor());
			int port = message.sender().peer().address().port();
			for (Member member : message.members()) {
				out.writeByteArray(MEMBER, encodeMember(member, domains, port));
			}
			for (ServerObservation observation : message.observations()) {
				out.writeByteArray(OBSERVATION, write((inner) -> {
					inner.writeString(SERVER, observation.server().value());
					inner.writeEnum(KIND, observation.kind().ordinal());
				}));
			}
			for (SuspicionReport report : message.suspicionReports()) {
				out.writeByteArray(SUSPICION, write((inner) -> {
					inner.writeString(SERVER, report.server().value());
					inner.writeUInt32(PERCENT, report.percent());
					inner.writeUInt64(EVIDENCE_AGE, report.age());
				}));
			}
			for (ServiceLoad load : message.loads()) {
				out.writeByteArray(LOAD, write((inner) -> {
					inner.writeString(SERVICE, load.service().value());
					inner.writeUInt32(RATE, (int) Math.round(load.perSecond() * RATE_UNITS_PER_REQUEST));
				}));
			}
		});
	}

	/**
	 * Decodes a message.
	 * @param bytes the encoded bytes
	 * @return the message
	 * @throws IOException if the bytes are not a valid message
	 */
	public static PeerMessage decode(byte[] bytes) throws IOException {
		CodedInputStream in = CodedInputStream.newInstance(bytes);
		List<FailureDomain> domains = new ArrayList<>();
		Member sender = null;
		int kind = PeerMessage.Kind.HEARTBEAT.ordinal();
		int membersDigest = 0;
		long revision = -1;
		long revisionAge = 0;
		long steadyFor = 0;
		List<Member> members = new ArrayList<>();
		List<ServerObservation> observations = new ArrayList<>();
		List<SuspicionReport> suspicionReports = new ArrayList<>();
		List<ServiceLoad> loads = new ArrayList<>();
		for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
			switch (WireFormat.getTagFieldNumber(tag)) {
				case DOMAIN_NAME -> domains.add(parseDomain(in.readString()));
				case MESSAGE_KIND -> kind = in.readEnum();
				case MEMBERS_DIGEST -> membersDigest = in.readFixed32();
				case SENDER -> sender = decodeMember(in.readByteArray(), domains, 0);
				case REVISION -> revision = in.readSInt64();
				case REVISION_AGE -> revisionAge = in.readUInt64();
				case STEADY_FOR -> steadyFor = in.readUInt64();
				case MEMBER -> members.add(decodeMember(in.readByteArray(), domains,
						(sender != null) ? sender.peer().address().port() : 0));
				case OBSERVATION -> observations.add(decodeObservation(in.readByteArray()));
				case SUSPICION -> suspicionReports.add(decodeSuspicionReport(in.readByteArray()));
				case LOAD -> loads.add(decodeLoad(in.readByteArray()));
				default -> in.skipField(tag);
			}
		}
		if (sender == null || revisionAge < 0 || steadyFor < 0 || kind < 0
				|| kind >= PeerMessage.Kind.values().length) {
			throw new IOException("message has no sender, a negative age or an unknown kind");
		}
		return new PeerMessage(PeerMessage.Kind.values()[kind], sender, membersDigest, revision, revisionAge, steadyFor,
				members, observations, suspicionReports, loads);
	}

	private static FailureDomain parseDomain(String text) throws IOException {
		int end = text.indexOf(REGION_SEPARATOR);
		if (end < 0) {
			throw new IOException("failure domain has no region");
		}
		return new FailureDomain(new Region(text.substring(0, end)), text.substring(end + 1));
	}

	private static byte[] encodeMember(Member member, List<FailureDomain> domains, int defaultPort) {
		return write((out) -> {
			HostAddress address = member.peer().address();
			out.writeFixed32(ADDRESS, parseAddress(address.address()));
			if (address.port() != defaultPort) {
				out.writeUInt32(PORT, address.port());
			}
			int domain = domains.indexOf(member.peer().failureDomain());
			if (domain > 0) {
				out.writeUInt32(DOMAIN, domain);
			}
			if (member.state() != MemberState.ALIVE) {
				out.writeEnum(STATE, member.state().ordinal());
			}
			out.writeUInt64(INCARNATION, member.incarnation());
		});
	}

	private static Member decodeMember(byte[] bytes, List<FailureDomain> domains, int defaultPort) throws IOException {
		CodedInputStream in = CodedInputStream.newInstance(bytes);
		int address = 0;
		int port = defaultPort;
		int domain = 0;
		int state = MemberState.ALIVE.ordinal();
		long incarnation = 0;
		for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
			switch (WireFormat.getTagFieldNumber(tag)) {
				case ADDRESS -> address = in.readFixed32();
				case PORT -> port = in.readUInt32();
				case DOMAIN -> domain = in.readUInt32();
				case STATE -> state = in.readEnum();
				case INCARNATION -> incarnation = in.readUInt64();
				default -> in.skipField(tag);
			}
		}
		if (address == 0 || port <= 0 || port > MAX_PORT) {
			throw new IOException("daemon has no valid address");
		}
		if (domain < 0 || domain >= domains.size()) {
			throw new IOException("daemon has no valid failure domain");
		}
		if (state < 0 || state >= MemberState.values().length || incarnation < 0 || incarnation > MAX_INCARNATION) {
			throw new IOException("daemon has no valid state or incarnation");
		}
		return new Member(new Peer(new HostAddress(formatAddress(address), port), domains.get(domain)), incarnation,
				MemberState.values()[state]);
	}

	private static int parseAddress(String address) {
		int value = 0;
		for (String octet : address.split("\\.", OCTETS_PER_ADDRESS)) {
			value = (value << Byte.SIZE) | Integer.parseInt(octet);
		}
		return value;
	}

	private static String formatAddress(int octets) {
		StringBuilder text = new StringBuilder();
		for (int i = OCTETS_PER_ADDRESS - 1; i >= 0; i--) {
			text.append((octets >>> (i * Byte.SIZE)) & 0xff).append((i > 0) ? "." : "");
		}
		return text.toString();
	}

	private static ServerObservation decodeObservation(byte[] bytes) throws IOException {
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
		if (server.isEmpty() || kind < 0 || kind >= ServerObservation.Kind.values().length) {
			throw new IOException("observation has no server or an unknown kind");
		}
		return new ServerObservation(new BackendServerId(server), ServerObservation.Kind.values()[kind]);
	}

	private static SuspicionReport decodeSuspicionReport(byte[] bytes) throws IOException {
		CodedInputStream in = CodedInputStream.newInstance(bytes);
		String server = "";
		int percent = 0;
		long age = 0;
		for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
			switch (WireFormat.getTagFieldNumber(tag)) {
				case SERVER -> server = in.readString();
				case PERCENT -> percent = in.readUInt32();
				case EVIDENCE_AGE -> age = in.readUInt64();
				default -> in.skipField(tag);
			}
		}
		if (server.isEmpty() || percent < 0 || percent > MAX_PERCENT || age < 0) {
			throw new IOException("suspicion has no server, or a percentage or age out of range");
		}
		return new SuspicionReport(new BackendServerId(server), percent, age);
	}

	private static ServiceLoad decodeLoad(byte[] bytes) throws IOException {
		CodedInputStream in = CodedInputStream.newInstance(bytes);
		String service = "";
		int rate = 0;
		for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
			switch (WireFormat.getTagFieldNumber(tag)) {
				case SERVICE -> service = in.readString();
				case RATE -> rate = in.readUInt32();
				default -> in.skipField(tag);
			}
		}
		if (service.isEmpty() || rate < 0) {
			throw new IOException("load has no service, or a negative rate");
		}
		return new ServiceLoad(new ServiceName(service), rate / RATE_UNITS_PER_REQUEST);
	}

	private static byte[] write(Writer writer) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		CodedOutputStream out = CodedOutputStream.newInstance(bytes);
		try {
			writer.write(out);
			out.flush();
		}
		catch (IOException exception) {
			throw new UncheckedIOException("writing to a byte array failed", exception);
		}
		return bytes.toByteArray();
	}

	/** Writes fields. */
	@FunctionalInterface
	private interface Writer {

		void write(CodedOutputStream out) throws IOException;

	}

}
