package org.wigeonmast.settings.internal;

import org.jspecify.annotations.Nullable;

/**
 * A key that a settings file may contain.
 * <p>
 * Thread safety: immutable.
 *
 * @param <T> the type of the value
 * @param section the section
 * @param name the name within the section
 * @param type the type of the value
 * @param defaultText the text of the default value, or {@code null} if the key is
 * required
 */
public record SettingsKey<T>(String section, String name, ValueType<T> type, @Nullable String defaultText) {
}
