package org.wigeonmast.health.internal;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

import org.wigeonmast.manifest.WorkClass;

/**
 * The strongest evidence about a backend server in comparison with its peers.
 * <p>
 * Thread safety: immutable.
 *
 * @param kind the kind of evidence
 * @param workClass the class of work that the evidence is from
 * @param strength the cumulative sum less the allowance
 * @param allowance the amount by which the sum must exceed the threshold
 * @param serverValue the value of the server, in the unit of the kind
 * @param peerValue the value of the peers, in the unit of the kind
 */
public record SuspicionEvidence(Kind kind, WorkClass workClass, double strength, double allowance, double serverValue,
		double peerValue) {

	/** No evidence. */
	public static final SuspicionEvidence NONE = new SuspicionEvidence(Kind.SLOW, WorkClass.SHORT, 0, 0, 0, 0);

	/**
	 * Returns the evidence as named values.
	 * @return the values, in a stable order
	 */
	public Map<String, String> toValues() {
		Map<String, String> values = new LinkedHashMap<>();
		values.put("kind", this.kind.toString().toLowerCase(Locale.ROOT));
		values.put("class", this.workClass.toString().toLowerCase(Locale.ROOT));
		values.put("strength", format(this.strength));
		values.put("threshold", format(OutlierDetector.THRESHOLD));
		values.put("observed", format(this.serverValue) + this.kind.unit);
		values.put("peers", format(this.peerValue) + this.kind.unit);
		return values;
	}

	/**
	 * Returns the evidence in one line.
	 * @return the text
	 */
	public String summary() {
		return String.format(Locale.ROOT, "%s %s work: %s%s, peers %s%s, strength %s of %s", this.kind.text,
				this.workClass.toString().toLowerCase(Locale.ROOT), format(this.serverValue), this.kind.unit,
				format(this.peerValue), this.kind.unit, format(this.strength), format(OutlierDetector.THRESHOLD));
	}

	private static String format(double value) {
		return String.format(Locale.ROOT, "%.1f", value);
	}

	/** The kind of evidence. */
	public enum Kind {

		/** Work takes longer than that of the peers. */
		SLOW("slow", " ms median"),

		/** More work fails than at the peers. */
		FAILING("failing", " % failed"),

		/** Requests of almost all daemons get no answer. */
		UNREACHABLE("unanswered", " % of daemons without answer");

		private final String text;

		private final String unit;

		Kind(String text, String unit) {
			this.text = text;
			this.unit = unit;
		}

	}

}
