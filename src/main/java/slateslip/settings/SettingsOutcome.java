package slateslip.settings;

import java.util.List;

/** Result of reading a settings file. */
public sealed interface SettingsOutcome {
  /** All required keys are present, and all values are well formed. */
  record Valid(NodeSettings settings) implements SettingsOutcome {}

  /**
   * The settings file cannot be used; a process cannot start with it.
   *
   * @param problems all problems found, at least one, in the order in which the keys are checked
   */
  record Invalid(List<Problem> problems) implements SettingsOutcome {
    /** Returns all problems, one per line. */
    public String message() {
      return String.join("\n", problems.stream().map(Problem::toString).toList());
    }
  }

  /**
   * A key that is missing or malformed.
   *
   * @param key name of the key in the file; empty if the file itself cannot be read
   * @param reason description of the problem, with the malformed value if there is one
   */
  record Problem(String key, String reason) {
    @Override
    public String toString() {
      return key.isEmpty() ? reason : key + ": " + reason;
    }
  }
}
