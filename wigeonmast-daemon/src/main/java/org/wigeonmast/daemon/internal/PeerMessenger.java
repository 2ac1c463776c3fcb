package org.wigeonmast.daemon.internal;

import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.MalformedMessageException;
import org.wigeonmast.core.MessageCodec;
import org.wigeonmast.daemon.DaemonEvent;
import org.wigeonmast.membership.Member;
import org.wigeonmast.wire.Slice;

/**
 * Message exchange, for all slices, between the components of this daemon and those of
 * its peers.
 * <p>
 * Thread safety: confined to the control thread, except {@link #receive}, which the
 * threads of the links call. Invariant: a message to this daemon itself is delivered
 * asynchronously, never within the sending call, so components are not re-entered.
 */
public final class PeerMessenger {

	private final EventLog log = new EventLog(PeerMessenger.class);

	private final ControlLoop control;

	private final Map<Slice, Endpoint<?>> endpoints = new EnumMap<>(Slice.class);

	private final Map<DaemonId, HostAddress> memberAddresses = new HashMap<>();

	private final Transport transport;

	private final Sender self;

	private boolean started;

	/**
	 * Creates a messenger.
	 * @param control the control loop
	 * @param self this daemon
	 * @param transport sends encoded messages
	 */
	public PeerMessenger(ControlLoop control, DaemonId self, Transport transport) {
		this.control = control;
		this.transport = transport;
		this.self = new Sender(self, transport.address());
	}

	/**
	 * Handles an encoded message from a peer; can be called from any thread.
	 * @param from the sender
	 * @param address the address on which the sender accepts links
	 * @param slice the slice
	 * @param content the encoded message
	 */
	public void receive(DaemonId from, HostAddress address, Slice slice, byte[] content) {
		this.control.execute(() -> deliver(new Sender(from, address), slice, content));
	}

	/**
	 * Starts delivering messages. Earlier ones are dropped, because not all components
	 * were created.
	 */
	public void start() {
		this.started = true;
	}

	/**
	 * Returns the address on which this daemon accepts links.
	 * @return the address
	 */
	public HostAddress address() {
		return this.self.address();
	}

	/**
	 * Registers a slice.
	 * @param <M> the messages of the slice
	 * @param slice the slice
	 * @param codec the codec of its messages
	 * @param receiver receives messages on the control thread
	 * @return the endpoint that sends messages of the slice
	 */
	public <M> SliceEndpoint<M> register(Slice slice, MessageCodec<M> codec, BiConsumer<Sender, M> receiver) {
		Endpoint<M> endpoint = new Endpoint<>(slice, codec, receiver);
		this.endpoints.put(slice, endpoint);
		return endpoint;
	}

	/**
	 * Replaces the known members, whose addresses are used for sending.
	 * @param members the members
	 */
	public void setMembers(Collection<Member> members) {
		this.memberAddresses.clear();
		members.forEach((member) -> this.memberAddresses.put(member.id(), member.address()));
	}

	private void deliver(Sender from, Slice slice, byte[] content) {
		Endpoint<?> endpoint = this.endpoints.get(slice);
		if (endpoint != null && this.started) {
			endpoint.deliver(from, content);
		}
	}

	private final class Endpoint<M> implements SliceEndpoint<M> {

		private final Slice slice;

		private final MessageCodec<M> codec;

		private final BiConsumer<Sender, M> receiver;

		private Endpoint(Slice slice, MessageCodec<M> codec, BiConsumer<Sender, M> receiver) {
			this.slice = slice;
			this.codec = codec;
			this.receiver = receiver;
		}

		@Override
		public void send(HostAddress to, M message) {
			if (to.equals(PeerMessenger.this.self.address())) {
				PeerMessenger.this.control.execute(() -> this.receiver.accept(PeerMessenger.this.self, message));
			}
			else {
				PeerMessenger.this.transport.send(to, this.slice, this.codec.encode(message));
			}
		}

		@Override
		public void send(DaemonId to, M message) {
			HostAddress address = to.equals(PeerMessenger.this.self.id()) ? PeerMessenger.this.self.address()
					: PeerMessenger.this.memberAddresses.get(to);
			if (address != null) {
				send(address, message);
			}
			else {
				PeerMessenger.this.log.log(DaemonEvent.PEER_UNKNOWN, to);
			}
		}

		private void deliver(Sender from, byte[] content) {
			try {
				this.receiver.accept(from, this.codec.decode(content));
			}
			catch (MalformedMessageException exception) {
				PeerMessenger.this.log.log(DaemonEvent.MESSAGE_REJECTED, this.slice, from.id(), exception.getMessage());
			}
		}

	}

}
