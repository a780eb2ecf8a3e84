package slateslip.configuration;

/** Result of reading a configuration or a change to one. */
public sealed interface ConfigurationOutcome {
  /** It is valid. */
  record Parsed(ConfigurationDocument document) implements ConfigurationOutcome {}

  /**
   * It is not valid; nothing has changed.
   *
   * @param message names the item and field, and says what is wrong
   */
  record Invalid(String message) implements ConfigurationOutcome {}
}
