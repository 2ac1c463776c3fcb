package org.wigeonmast.settings.internal;

import java.io.IOException;
import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.ex.ConfigurationRuntimeException;
import org.apache.commons.configuration2.tree.ImmutableNode;
import org.wigeonmast.settings.SettingsError;

/**
 * An INI file, parsed into sections, keys and uninterpreted values.
 * <p>
 * Thread safety: immutable.
 */
public final class SettingsDocument {

	/** Some editors write a byte order mark at the start of a file. */
	private static final String BYTE_ORDER_MARK = "\uFEFF";

	private final String file;

	private final List<String> keysOutsideSections;

	private final Map<String, Map<String, List<String>>> sections;

	private SettingsDocument(String file, List<String> keysOutsideSections,
			Map<String, Map<String, List<String>>> sections) {
		this.file = file;
		this.keysOutsideSections = keysOutsideSections;
		this.sections = sections;
	}

	/**
	 * Parses a file.
	 * @param file the file name to show in errors
	 * @param bytes the content of the file
	 * @return the document, or every error found
	 */
	public static Either<List<SettingsError>, SettingsDocument> parse(String file, byte[] bytes) {
		try {
			String text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
			INIConfiguration configuration = new INIConfiguration();
			configuration.read(new StringReader(text.startsWith(BYTE_ORDER_MARK) ? text.substring(1) : text));
			return Either.right(fromTree(file, configuration.getNodeModel().getRootNode()));
		}
		catch (CharacterCodingException exception) {
			return Either.left(List.of(SettingsErrorMessages.notUtf8(file)));
		}
		catch (IOException | ConfigurationException | ConfigurationRuntimeException exception) {
			return Either.left(List.of(SettingsErrorMessages.notIni(file, String.valueOf(exception.getMessage()))));
		}
	}

	private static SettingsDocument fromTree(String file, ImmutableNode root) {
		List<String> keysOutsideSections = new ArrayList<>();
		Map<String, Map<String, List<String>>> sections = new LinkedHashMap<>();
		for (ImmutableNode node : root) {
			if (node.getValue() != null) {
				keysOutsideSections.add(node.getNodeName());
				continue;
			}
			Map<String, List<String>> keys = sections.computeIfAbsent(node.getNodeName(),
					(name) -> new LinkedHashMap<>());
			for (ImmutableNode key : node) {
				keys.computeIfAbsent(key.getNodeName(), (name) -> new ArrayList<>())
					.add(String.valueOf(key.getValue()).strip());
			}
		}
		return new SettingsDocument(file, keysOutsideSections, sections);
	}

	String file() {
		return this.file;
	}

	List<String> keysOutsideSections() {
		return this.keysOutsideSections;
	}

	Map<String, Map<String, List<String>>> sections() {
		return Collections.unmodifiableMap(this.sections);
	}

	List<String> values(SettingsKey<?> key) {
		return this.sections.getOrDefault(key.section(), Map.of()).getOrDefault(key.name(), List.of());
	}

}
