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
 * HTTP client for the admin interfaces of daemons.
 * <p>
 * Thread safety: usable from any thread. Invariant: a call takes at most
 * {@link #CALL_TIMEOUT_MS} and reads at most {@link #MAX_RESPONSE_BYTES} of the response.
 * Unknown JSON fields, as newer releases may add them, are ignored.
 */
public final class AdminClient {

	/**
	 * Timeout of a call; it exceeds the time that a daemon waits for its control thread.
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
	 * Fetches the status of a daemon.
	 * @param admin the address of the daemon's admin interface
	 * @return the status
	 * @throws CommandException if the daemon does not respond or the response is invalid
	 */
	public DaemonStatus fetchStatus(HostAddress admin) throws CommandException {
		return get(admin, urlBuilder(admin).addPathSegment("status").build(), new TypeReference<>() {
		});
	}

	/**
	 * Fetches the explanations of a backend server's state.
	 * @param admin the address of the daemon's admin interface
	 * @param host the identifier or address of the backend server
	 * @return the explanations, empty if the daemon does not know the host
	 * @throws CommandException if the daemon does not respond or the response is invalid
	 */
	public List<ServerExplanation> fetchExplanations(HostAddress admin, String host) throws CommandException {
		return get(admin, urlBuilder(admin).addPathSegment("explain").addPathSegment(host).build(),
				new TypeReference<>() {
				});
	}

	/**
	 * Fetches audit entries.
	 * @param admin the address of the daemon's admin interface
	 * @param since the number of the last known entry; only later entries are returned
	 * @return the entries, oldest first
	 * @throws CommandException if the daemon does not respond or the response is invalid
	 */
	public List<AuditRecord> fetchAuditRecords(HostAddress admin, long since) throws CommandException {
		return get(admin,
				urlBuilder(admin).addPathSegment("audit").addQueryParameter("since", Long.toString(since)).build(),
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
				throw createException(admin, "the response is larger than " + MAX_RESPONSE_BYTES + " bytes", null);
			}
			byte[] body = source.getBuffer().readByteArray();
			if (response.code() == NOT_FOUND) {
				return MAPPER.readValue("[]", type);
			}
			if (!response.isSuccessful()) {
				throw createException(admin, "the response has the status " + response.code(), null);
			}
			return MAPPER.readValue(body, type);
		}
		catch (JsonProcessingException exception) {
			throw createException(admin, "the response is not a daemon's JSON", exception);
		}
		catch (IOException exception) {
			throw createException(admin, String.valueOf(exception.getMessage()), exception);
		}
	}

	private static CommandException createException(HostAddress admin, String problem, @Nullable Throwable cause) {
		return new CommandException(ExitStatus.UNAVAILABLE, Step.ADMIN, admin.toString(),
				problem + "; check that a daemon runs there and that --admin names its admin address", cause);
	}

	/** Reads an instant in ISO 8601 format. */
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
