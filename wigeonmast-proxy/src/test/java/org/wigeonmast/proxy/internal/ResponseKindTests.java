package org.wigeonmast.proxy.internal;

import com.google.common.truth.Truth;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeonmast.proxy.HeaderConventions;

/** Tests of what the head of a response is to the request that waits. */
class ResponseKindTests {

	private static final HeaderConventions CONVENTIONS = new HeaderConventions("Try-Id", "Time-Left", null, null, null,
			"Not-Run", null, null, "For-Server", "Proof", true, false, true);

	// Guards against a response that is taken for the answer to another request.
	@ParameterizedTest
	@CsvSource({ "200, 't1', Answer", "200, 't0', Foreign", "200, 't1 t0', Invalid", "200, 'T1', Foreign",
			"200, '', Invalid", "204, '', Invalid", "304, 't0', Foreign", "500, '', Invalid", "503, 't0', Foreign",
			"103, 't0', Informational", "100, '', Informational", "101, 't1', Invalid" })
	void responseIsAnAnswerOnlyWithTheIdentifierOfTheRequest(int status, String ids, String kind) {
		HttpResponse head = response(status, ids);
		head.headers().set("Proof", "p").set("Content-Length", "0");
		Truth.assertThat(kindOf(head, true).getClass().getSimpleName()).isEqualTo(kind);
		Truth.assertThat(kindOf(head, false).getClass().getSimpleName()).isEqualTo(kind);
	}

	// Guards against a refusal of an earlier request that says "not run" of this one.
	@Test
	void refusalWithoutIdentifierIsAnAnswerOnlyOnANewConnection() {
		HttpResponse head = response(503, "");
		head.headers().set("Not-Run", "1");
		Truth.assertThat(kindOf(head, true)).isEqualTo(new ResponseKind.Answer(true));
		Truth.assertThat(kindOf(head, false)).isInstanceOf(ResponseKind.Invalid.class);
	}

	// Guards against waiting until the deadline for the end of a response to another
	// request.
	@Test
	void foreignResponseWithoutEndIsInvalid() {
		Truth.assertThat(kindOf(response(500, "t0"), true)).isInstanceOf(ResponseKind.Invalid.class);
		Truth.assertThat(kindOf(response(204, "t0"), true)).isInstanceOf(ResponseKind.Foreign.class);
	}

	// Guards against a body whose end two implementations could see at different places.
	@ParameterizedTest
	@CsvSource({ "Content-Length, 5, Content-Length, 6", "Content-Length, 5, Transfer-Encoding, chunked",
			"Transfer-Encoding, gzip, X-None, 1", "Transfer-Encoding, chunked, Transfer-Encoding, chunked" })
	void ambiguousLengthIsInvalid(String name, String value, String otherName, String otherValue) {
		HttpResponse head = response(200, "t1");
		head.headers().set("Proof", "p").add(name, value).add(otherName, otherValue);
		Truth.assertThat(kindOf(head, true)).isInstanceOf(ResponseKind.Invalid.class);
	}

	private static HttpResponse response(int status, String ids) {
		HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
		for (String id : ids.split(" ")) {
			if (!id.isEmpty()) {
				head.headers().add("Try-Id", id);
			}
		}
		return head;
	}

	private static ResponseKind kindOf(HttpResponse head, boolean first) {
		return ResponseKind.of(head, CONVENTIONS, "t1", first);
	}

}
