package org.wigeonmast.proxy.internal;

import java.util.ArrayList;
import java.util.List;

import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link MessageQueue}.
 */
class MessageQueueTests {

	private final List<Object> delivered = new ArrayList<>();

	private final ChannelInboundHandlerAdapter handler = new ChannelInboundHandlerAdapter();

	private final EmbeddedChannel channel = new EmbeddedChannel(this.handler);

	private final MessageQueue queue = new MessageQueue(this.channel.pipeline().context(this.handler),
			this.delivered::add, this.delivered::add);

	// Guards against losing the end of a complete response when the server closes the
	// connection while writing to the caller is paused.
	@Test
	void deliversMessagesBeforeTheEnd() {
		HttpObject piece = new DefaultHttpContent(this.channel.alloc().buffer());
		this.queue.add(piece);
		this.queue.add(LastHttpContent.EMPTY_LAST_CONTENT);
		this.queue.end("closed");
		assertThat(this.delivered).isEmpty();
		this.queue.requestNext();
		assertThat(this.delivered).containsExactly(piece);
		this.queue.requestNext();
		assertThat(this.delivered).containsExactly(piece, LastHttpContent.EMPTY_LAST_CONTENT, "closed").inOrder();
	}

	// Guards against a memory leak by messages that are never delivered.
	@Test
	void closingReleasesMessages() {
		HttpContent first = new DefaultHttpContent(this.channel.alloc().buffer());
		HttpContent late = new DefaultHttpContent(this.channel.alloc().buffer());
		this.queue.add(first);
		this.queue.close();
		this.queue.add(late);
		this.queue.requestNext();
		assertThat(first.refCnt() + late.refCnt()).isEqualTo(0);
		assertThat(this.delivered).isEmpty();
	}

}
