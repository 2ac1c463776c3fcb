package org.wigeonmast.settings;

/**
 * One error in a settings file.
 * <p>
 * Thread safety: immutable.
 *
 * @param file the name of the file
 * @param section the section, empty if the error concerns the whole file
 * @param key the key, empty if the error concerns the whole section
 * @param problem the error, without a full stop
 * @param remedy how to correct it, a full sentence
 */
public record SettingsError(String file, String section, String key, String problem, String remedy) {

	@Override
	public String toString() {
		String place = this.section.isEmpty() ? this.key : "[" + this.section + "] " + this.key;
		return this.file + ": " + (place.isEmpty() ? "" : place.strip() + ": ") + this.problem + ". " + this.remedy;
	}

}
