package org.wigeonmast.proxy.internal;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;
import org.jspecify.annotations.Nullable;

/**
 * Body of one request: buffered in memory if it is small, otherwise streamed.
 * <p>
 * Thread safety: none; the traffic thread owns it. Invariants: a replayable body is
 * complete and stays in memory until {@link #release()}; a body that was passed on to an
 * attempt is not replayable. Parts are copied into one buffer, because each part would
 * otherwise retain the whole buffer in which it was received: a body that arrives byte by
 * byte would use hundreds of times its size.
 */
final class RequestBody {

	private final ProxyContext context;

	private @Nullable ByteBuf buffer;

	private final MemoryReservation bufferedMemory;

	private long receivedBytes;

	private boolean complete;

	private boolean streamed;

	RequestBody(ProxyContext context) {
		this.context = context;
		this.bufferedMemory = new MemoryReservation(context.requestMemory());
	}

	/**
	 * Records a received part.
	 * @param bytes the size of the part in bytes
	 * @param last whether it is the last one
	 */
	void recordReceived(int bytes, boolean last) {
		this.receivedBytes += bytes;
		this.complete = last;
	}

	/**
	 * Appends a part to the buffer.
	 * @param piece the part, which is released
	 */
	void append(ByteBuf piece) {
		if (piece.isReadable()) {
			if (this.buffer == null) {
				this.buffer = PooledByteBufAllocator.DEFAULT.buffer(piece.readableBytes());
			}
			this.buffer.writeBytes(piece);
		}
		piece.release();
	}

	/**
	 * Reserves memory for a part that is about to be buffered.
	 * @param bytes the size of the part in bytes
	 * @return whether the limits allow the body to stay in memory
	 */
	boolean reserveMemory(int bytes) {
		return this.bufferedMemory.bytes() + bytes <= this.context.configuration().limits().replayableBody()
				&& this.bufferedMemory.tryReserve(bytes);
	}

	/**
	 * Removes and returns the buffered bytes.
	 * @return the bytes, which the invoking code must release
	 */
	ByteBuf takeBuffered() {
		this.streamed = true;
		ByteBuf bytes = this.buffer;
		this.buffer = null;
		this.bufferedMemory.release();
		return (bytes != null) ? bytes : Unpooled.EMPTY_BUFFER;
	}

	/**
	 * Returns a complete body without copying its bytes.
	 * @return the body, which the invoking code must release
	 */
	ByteBuf duplicate() {
		return (this.buffer != null) ? this.buffer.retainedDuplicate() : Unpooled.EMPTY_BUFFER;
	}

	/** Releases the buffer and its reserved memory. */
	void release() {
		if (this.buffer != null) {
			this.buffer.release();
			this.buffer = null;
		}
		this.bufferedMemory.release();
	}

	boolean isComplete() {
		return this.complete;
	}

	boolean isStreamed() {
		return this.streamed;
	}

	long receivedBytes() {
		return this.receivedBytes;
	}

}
