package slateslip.configuration;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * One version of the operator's configuration: each part as it was sent, with the fields that this
 * program does not know, beside what was read from it. Immutable.
 */
public final class ConfigurationDocument {
  private final DocumentParts parts;
  private final FleetConfiguration configuration;
  private byte[] json;

  ConfigurationDocument(DocumentParts parts, FleetConfiguration configuration) {
    this.parts = parts;
    this.configuration = configuration;
  }

  /** Reads a whole configuration of any version above 0. */
  public static ConfigurationOutcome parse(byte[] document) {
    return parse(document, 0);
  }

  /**
   * Reads a whole configuration.
   *
   * @param currentVersion the new version has to be above this; 0 if there is none yet
   */
  public static ConfigurationOutcome parse(byte[] document, long currentVersion) {
    return DocumentReader.whole(document, currentVersion);
  }

  /**
   * This configuration with a change applied: items of {@code remove} are taken out, those of
   * {@code upsert} are added or replaced by name, any other part is replaced whole.
   */
  public ConfigurationOutcome patched(byte[] patch) {
    return DocumentReader.patch(parts, patch);
  }

  /** Version of the configuration. */
  public long version() {
    return configuration.version();
  }

  /** What was read. */
  public FleetConfiguration configuration() {
    return configuration;
  }

  /** The whole document as JSON in UTF-8; not to be modified. */
  public synchronized byte[] toJson() {
    if (json == null) {
      json = write().getBytes(StandardCharsets.UTF_8);
    }
    return json;
  }

  private String write() {
    StringBuilder text = new StringBuilder("{\"version\":").append(parts.version());
    append(text, DocumentParts.ROUTES, parts.routes().json());
    append(text, DocumentParts.SERVICES, parts.services().json());
    if (parts.limitsJson() != null) {
      append(text, DocumentParts.LIMITS, parts.limitsJson());
    }
    if (parts.tenants() != null) {
      append(text, DocumentParts.TENANTS, parts.tenants().json());
    }
    for (Map.Entry<String, String> other : parts.others().entrySet()) {
      append(text, other.getKey(), other.getValue());
    }
    return text.append('}').toString();
  }

  private static void append(StringBuilder text, String field, String value) {
    text.append(",\"").append(escaped(field)).append("\":").append(value);
  }

  private static String escaped(String field) {
    StringBuilder escaped = new StringBuilder(field.length());
    for (int index = 0; index < field.length(); index++) {
      char character = field.charAt(index);
      if (character == '"' || character == '\\') {
        escaped.append('\\').append(character);
      } else if (character < ' ') {
        escaped.append(String.format("\\u%04x", (int) character));
      } else {
        escaped.append(character);
      }
    }
    return escaped.toString();
  }
}
