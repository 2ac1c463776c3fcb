package org.wigeonmast.settings;

/**
 * One error in a settings file.
 * <p>
 * Thread safety: immutable.
 *
 * @param file the file
 * @param section the section, empty for the file as a whole
 * @param key the key, empty for the section as a whole
 * @param problem what is wrong, without a full stop
 * @param remedy what to do, a full sentence
 */
public record SettingsError(String file, String section, String key, String problem, String remedy) {

	@Override
	public String toString() {
		String place = this.section.isEmpty() ? this.key : "[" + this.section + "] " + this.key;
		return this.file + ": " + (place.isEmpty() ? "" : place.strip() + ": ") + this.problem + ". " + this.remedy;
	}

}
