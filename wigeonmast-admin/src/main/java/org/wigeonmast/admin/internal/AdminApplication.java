package org.wigeonmast.admin.internal;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.StatusCode;
import org.wigeonmast.admin.AdminEvent;
import org.wigeonmast.admin.AdminSources;
import org.wigeonmast.admin.AuditRecord;
import org.wigeonmast.admin.Readiness;
import org.wigeonmast.admin.ServerExplanation;
import org.wigeonmast.core.EventLog;

/**
 * Routes and request handlers of the admin interface.
 * <p>
 * Thread safety: as {@link Jooby}; handlers run on worker threads. Invariant: a handler
 * waits at most {@link #CONTROL_THREAD_TIMEOUT_MS} for the control thread.
 */
public final class AdminApplication extends Jooby {

	/** Time that a handler waits for the control thread. */
	static final long CONTROL_THREAD_TIMEOUT_MS = 2_000;

	/** Maximum number of audit entries in one response. */
	static final int MAX_AUDIT_RECORDS = 1_000;

	private static final String DEFAULT_SINCE = "0";

	private final EventLog log = new EventLog(AdminApplication.class);

	private final AdminSources sources;

	/**
	 * Creates the application.
	 * @param sources the sources of the data to serve
	 */
	public AdminApplication(AdminSources sources) {
		this.sources = sources;
		get("/ready", this::sendReadiness);
		get("/status", this::sendStatus);
		get("/explain/{host}", this::sendExplanations);
		get("/audit", this::sendAuditRecords);
		get("/metrics", this::sendMetrics);
		error((context, cause, code) -> sendProblem(context, code, String.valueOf(cause.getMessage())));
	}

	private Context sendReadiness(Context context) throws JsonProcessingException {
		Readiness readiness = this.sources.readiness().readiness();
		return sendJson(context, readiness.ready() ? StatusCode.OK : StatusCode.SERVICE_UNAVAILABLE, readiness);
	}

	private Context sendStatus(Context context) throws Exception {
		return awaitAndSend(context, this.sources.status().status());
	}

	private Context sendExplanations(Context context) throws Exception {
		String host = context.path("host").value();
		CompletableFuture<List<ServerExplanation>> answer = this.sources.explanation().explain(host);
		if (await(context, answer) && answer.join().isEmpty()) {
			return sendProblem(context, StatusCode.NOT_FOUND,
					"no backend server has the identifier or address " + host);
		}
		return awaitAndSend(context, answer);
	}

	private Context sendAuditRecords(Context context) throws JsonProcessingException {
		String since = context.query("since").value(DEFAULT_SINCE);
		try {
			long number = Long.parseLong(since);
			List<AuditRecord> records = this.sources.audit().recordsSince(number, MAX_AUDIT_RECORDS);
			return sendJson(context, StatusCode.OK, records);
		}
		catch (NumberFormatException exception) {
			return sendProblem(context, StatusCode.BAD_REQUEST,
					"since must be the number of an audit entry, not '" + since + "'");
		}
	}

	private Context sendMetrics(Context context) {
		context.setResponseType(MediaType.valueOf(PrometheusText.MEDIA_TYPE));
		return context.send(PrometheusText.format(this.sources.metrics()));
	}

	private Context awaitAndSend(Context context, CompletableFuture<?> answer) throws Exception {
		if (await(context, answer)) {
			return sendJson(context, StatusCode.OK, answer.join());
		}
		return sendProblem(context, StatusCode.GATEWAY_TIMEOUT,
				"the control thread did not answer within " + CONTROL_THREAD_TIMEOUT_MS + " ms");
	}

	private boolean await(Context context, CompletableFuture<?> answer) throws ExecutionException {
		try {
			answer.get(CONTROL_THREAD_TIMEOUT_MS, TimeUnit.MILLISECONDS);
			return true;
		}
		catch (TimeoutException exception) {
			this.log.log(AdminEvent.CONTROL_THREAD_SLOW, context.getRequestPath(), CONTROL_THREAD_TIMEOUT_MS);
			return false;
		}
		catch (InterruptedException exception) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	private Context sendProblem(Context context, StatusCode code, String detail) {
		if (code.value() >= StatusCode.SERVER_ERROR.value()) {
			this.log.log(AdminEvent.REQUEST_FAILED, context.getRequestPath(), detail);
		}
		try {
			return sendJson(context, code, new Problem(code.value(), detail));
		}
		catch (JsonProcessingException exception) {
			return context.send(code);
		}
	}

	private static Context sendJson(Context context, StatusCode code, Object body) throws JsonProcessingException {
		byte[] document = AdminJson.write(body);
		context.setResponseCode(code);
		context.setResponseType(MediaType.json);
		return context.send(document);
	}

	/**
	 * The body of an error response.
	 *
	 * @param status the HTTP status
	 * @param detail the cause of the error
	 */
	record Problem(int status, String detail) {
	}

}
