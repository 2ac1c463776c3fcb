package org.wigeonmast.manifest.internal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.vavr.control.Either;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.manifest.store.PlatformHost;

/**
 * A parser for the platform's host list.
 * <p>
 * Thread safety: none; an instance parses one list.
 */
public final class HostListParser {

	private static final String HOSTS = "hosts";

	private final ErrorList errors = new ErrorList();

	private final List<PlatformHost> hosts = new ArrayList<>();

	/**
	 * Parses a host list.
	 * @param bytes the JSON document
	 * @return the hosts, or every error found
	 */
	public Either<List<String>, List<PlatformHost>> parse(byte[] bytes) {
		try (JsonCursor cursor = new JsonCursor(HOSTS, bytes, this.errors)) {
			cursor.moveToRoot();
			if (cursor.enterObject()) {
				read(cursor);
			}
			cursor.checkEnd();
		}
		catch (JsonProcessingException exception) {
			this.errors.add(ManifestErrorMessages.syntaxError(HOSTS, exception));
		}
		catch (IOException exception) {
			this.errors.add(ManifestErrorMessages.inDocument(HOSTS, "", String.valueOf(exception.getMessage())));
		}
		return this.errors.isEmpty() ? Either.right(List.copyOf(this.hosts)) : Either.left(this.errors.toList());
	}

	private void read(JsonCursor cursor) throws IOException {
		for (String field = cursor.nextField(); field != null; field = cursor.nextField()) {
			if (!field.equals(HOSTS)) {
				cursor.skipUnknownField(field, HOSTS);
			}
			else if (cursor.enterArray()) {
				while (cursor.nextElement()) {
					if (cursor.enterObject()) {
						readHost(cursor);
					}
				}
			}
		}
	}

	private void readHost(JsonCursor cursor) throws IOException {
		String role = null;
		HostAddress address = null;
		String state = null;
		for (String field = cursor.nextField(); field != null; field = cursor.nextField()) {
			switch (field) {
				case "role" -> role = cursor.readText(TextFormat.ROLE);
				case "address" -> address = cursor.readAddress();
				case "state" -> state = cursor.readText(TextFormat.STATE);
				default -> cursor.skipUnknownField(field, "role, address and state");
			}
		}
		if (role == null || address == null || state == null) {
			cursor.reportError(ManifestErrorMessages.HOST_FIELDS_REQUIRED);
			return;
		}
		this.hosts.add(new PlatformHost(role.equals("entry") ? PlatformHost.Role.ENTRY : PlatformHost.Role.BACKEND,
				address, state.equals("leaving")));
	}

}
