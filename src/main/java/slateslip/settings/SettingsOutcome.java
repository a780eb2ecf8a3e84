package slateslip.settings;

import java.util.List;

/** Result of reading a settings file. */
public sealed interface SettingsOutcome {
  /** Every needed key is present and well formed. */
  record Valid(NodeSettings settings) implements SettingsOutcome {}

  /**
   * The process cannot start with this file.
   *
   * @param problems at least one, in the order in which the keys are checked
   */
  record Invalid(List<Problem> problems) implements SettingsOutcome {
    /** All problems, one a line. */
    public String message() {
      return String.join("\n", problems.stream().map(Problem::toString).toList());
    }
  }

  /**
   * A key that is missing or malformed.
   *
   * @param key as it stands in the file; empty if the file itself cannot be read
   * @param reason what is wrong with it, with the value that was found
   */
  record Problem(String key, String reason) {
    @Override
    public String toString() {
      return key.isEmpty() ? reason : key + ": " + reason;
    }
  }
}
