package slateslip.configuration;

import java.io.ByteArrayOutputStream;
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

  /** Reads a complete configuration of any version above 0. */
  public static ConfigurationOutcome parse(byte[] document) {
    return parse(document, 0);
  }

  /**
   * Reads a complete configuration.
   *
   * @param currentVersion the new version has to be above this; 0 if there is none yet
   */
  public static ConfigurationOutcome parse(byte[] document, long currentVersion) {
    return DocumentReader.document(document, currentVersion);
  }

  /**
   * This configuration with a change applied: items of {@code remove} are taken out, those of
   * {@code upsert} are added or replaced by name, any other part is replaced as a whole.
   */
  public ConfigurationOutcome patched(byte[] patch) {
    return DocumentReader.patch(parts, patch);
  }

  /**
   * Reads a complete configuration that is in force, without asking again whether it is valid:
   * agents of different versions must not differ in what is committed. Items that this version
   * cannot use are kept as they were sent, and are missing from {@link #configuration}.
   */
  public static ConfigurationOutcome committed(byte[] document) {
    return DocumentReader.committedDocument(document);
  }

  /** This configuration with a change applied that is in force, as for {@link #committed}. */
  public ConfigurationOutcome committedPatch(byte[] patch) {
    return DocumentReader.committedPatch(parts, patch);
  }

  /** Version of the configuration. */
  public long version() {
    return configuration.version();
  }

  /** What was read. */
  public FleetConfiguration configuration() {
    return configuration;
  }

  /** Whether routes that are not public need a key. */
  public boolean hasTenants() {
    return !configuration.tenants().isEmpty();
  }

  /** The complete document as JSON in UTF-8; not to be modified. */
  public synchronized byte[] toJson() {
    if (json == null) {
      json = write();
    }
    return json;
  }

  private byte[] write() {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    text.writeBytes(utf8("{\"version\":" + parts.version()));
    writeName(text, DocumentParts.ROUTES);
    parts.routes().write(text);
    writeName(text, DocumentParts.SERVICES);
    parts.services().write(text);
    if (parts.limitsJson() != null) {
      writeName(text, DocumentParts.LIMITS);
      text.writeBytes(parts.limitsJson());
    }
    if (parts.tenants() != null) {
      writeName(text, DocumentParts.TENANTS);
      parts.tenants().write(text);
    }
    for (Map.Entry<String, byte[]> other : parts.others().entrySet()) {
      writeName(text, other.getKey());
      text.writeBytes(other.getValue());
    }
    text.write('}');
    return text.toByteArray();
  }

  private static void writeName(ByteArrayOutputStream text, String field) {
    text.writeBytes(utf8(",\"" + escaped(field) + "\":"));
  }

  private static byte[] utf8(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
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
