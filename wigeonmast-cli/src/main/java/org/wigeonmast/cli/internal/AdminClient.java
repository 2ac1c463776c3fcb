package org.wigeonmast.cli.internal;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import okhttp3.ConnectionPool;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import okio.BufferedSource;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.admin.AuditRecord;
import org.wigeonmast.admin.DaemonStatus;
import org.wigeonmast.admin.ServerExplanation;
import org.wigeonmast.cli.CommandException;
import org.wigeonmast.cli.ExitStatus;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Step;

/**
 * Asks the operators' interfaces of daemons.
 * <p>
 * Thread safety: usable from any thread. Invariant: a call ends within
 * {@link #CALL_TIMEOUT_MS} and reads at most {@link #MAX_RESPONSE_BYTES} bytes. Fields that a
 * newer release added are ignored.
 */
public final class AdminClient {

	/**
	 * Time for a call in milliseconds, longer than a daemon waits for its control thread.
	 */
	private static final long CALL_TIMEOUT_MS = 3_000;

	private static final long MAX_RESPONSE_BYTES = 32_000_000;

	private static final int NOT_FOUND = 404;

	private static final ObjectMapper MAPPER = new ObjectMapper()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.registerModule(new SimpleModule().addDeserializer(Instant.class, new InstantDeserializer()));

	private final OkHttpClient client = new OkHttpClient.Builder().callTimeout(Duration.ofMillis(CALL_TIMEOUT_MS))
		.connectionPool(new ConnectionPool(0, 1, TimeUnit.SECONDS))
		.followRedirects(false)
		.build();

	/**
	 * Asks for the state of a daemon.
	 * @param admin the address of its operators' interface
	 * @return the state
	 * @throws CommandException if there is no answer
	 */
	public DaemonStatus fetchStatus(HostAddress admin) throws CommandException {
		return get(admin, urlBuilder(admin).addPathSegment("status").build(), new TypeReference<>() {
		});
	}

	/**
	 * Asks why a backend server has its state.
	 * @param admin the address of the operators' interface
	 * @param host the identifier or address of the backend server
	 * @return the explanations, empty if the daemon does not know the host
	 * @throws CommandException if there is no answer
	 */
	public List<ServerExplanation> fetchExplanations(HostAddress admin, String host) throws CommandException {
		return get(admin, urlBuilder(admin).addPathSegment("explain").addPathSegment(host).build(), new TypeReference<>() {
		});
	}

	/**
	 * Asks for audit entries.
	 * @param admin the address of the operators' interface
	 * @param since the number of the last entry already known
	 * @return the entries
	 * @throws CommandException if there is no answer
	 */
	public List<AuditRecord> fetchAuditRecords(HostAddress admin, long since) throws CommandException {
		return get(admin, urlBuilder(admin).addPathSegment("audit").addQueryParameter("since", Long.toString(since)).build(),
				new TypeReference<>() {
				});
	}

	private static HttpUrl.Builder urlBuilder(HostAddress admin) {
		return new HttpUrl.Builder().scheme("http").host(admin.address()).port(admin.port());
	}

	private <T> T get(HostAddress admin, HttpUrl url, TypeReference<T> type) throws CommandException {
		try (Response response = this.client.newCall(new Request.Builder().url(url).build()).execute()) {
			BufferedSource source = response.body().source();
			if (source.request(MAX_RESPONSE_BYTES + 1)) {
				throw createException(admin, "the answer is too large", null);
			}
			byte[] body = source.getBuffer().readByteArray();
			if (response.code() == NOT_FOUND) {
				return MAPPER.readValue("[]", type);
			}
			if (!response.isSuccessful()) {
				throw createException(admin, "the answer has the status " + response.code(), null);
			}
			return MAPPER.readValue(body, type);
		}
		catch (JsonProcessingException exception) {
			throw createException(admin, "the answer is not that of a daemon", exception);
		}
		catch (IOException exception) {
			throw createException(admin, String.valueOf(exception.getMessage()), exception);
		}
	}

	private static CommandException createException(HostAddress admin, String problem, @Nullable Throwable cause) {
		return new CommandException(ExitStatus.UNAVAILABLE, Step.ADMIN, admin.toString(),
				problem + "; check that a daemon runs there and that --admin names its operators' address", cause);
	}

	/** Reads a time of day in ISO 8601 form. */
	private static final class InstantDeserializer extends JsonDeserializer<Instant> {

		@Override
		public Instant deserialize(JsonParser parser, DeserializationContext context) throws IOException {
			try {
				return Instant.parse(parser.getText());
			}
			catch (DateTimeParseException exception) {
				return (Instant) context.handleWeirdStringValue(Instant.class, parser.getText(), "not a time");
			}
		}

	}

}
