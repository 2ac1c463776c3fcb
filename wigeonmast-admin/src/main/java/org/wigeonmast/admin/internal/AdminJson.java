package org.wigeonmast.admin.internal;

import java.io.IOException;
import java.time.Instant;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;

/**
 * Serializes the responses of the admin interface as JSON.
 * <p>
 * Thread safety: stateless.
 */
final class AdminJson {

	private static final ObjectMapper MAPPER = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT)
		.registerModule(new SimpleModule().addSerializer(Instant.class, new InstantSerializer()));

	private AdminJson() {
	}

	static byte[] write(Object value) throws JsonProcessingException {
		return MAPPER.writeValueAsBytes(value);
	}

	/** Serializes a time of day in ISO 8601 format. */
	private static final class InstantSerializer extends JsonSerializer<Instant> {

		@Override
		public void serialize(Instant value, JsonGenerator generator, SerializerProvider provider) throws IOException {
			generator.writeString(value.toString());
		}

	}

}
