package slateslip.configuration;

/** Result of parsing a complete configuration or a patch. */
public sealed interface ConfigurationOutcome {
  /** The document was accepted. */
  record Parsed(ConfigurationDocument document) implements ConfigurationOutcome {}

  /**
   * The document was rejected; the configuration is unchanged.
   *
   * @param message the first error found, with the item and the field that it concerns
   */
  record Invalid(String message) implements ConfigurationOutcome {}
}
