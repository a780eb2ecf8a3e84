package slateslip.configuration;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the operator's configuration. Holds each part of the JSON document as it was sent,
 * including fields that are unknown to this program version, and the configuration parsed from the
 * document. Immutable.
 */
public final class ConfigurationDocument {
  private final DocumentParts parts;
  private final FleetConfiguration configuration;
  private byte[] json;

  ConfigurationDocument(DocumentParts parts, FleetConfiguration configuration) {
    this.parts = parts;
    this.configuration = configuration;
  }

  /** Parses and validates a complete configuration with any version above 0. */
  public static ConfigurationOutcome parse(byte[] document) {
    return parse(document, 0);
  }

  /**
   * Parses and validates a complete configuration.
   *
   * @param currentVersion version of the configuration in force, which the new version must exceed;
   *     0 if no configuration exists yet
   */
  public static ConfigurationOutcome parse(byte[] document, long currentVersion) {
    return DocumentReader.document(document, currentVersion);
  }

  /**
   * Returns this configuration with a patch applied and the result validated. Items named in {@code
   * remove} are removed, items in {@code upsert} are added or replaced by name, and any other part
   * of the patch replaces that part of the document as a whole.
   */
  public ConfigurationOutcome patched(byte[] patch) {
    return DocumentReader.patch(parts, patch);
  }

  /**
   * Parses a complete configuration that is already committed, without validating it again: agents
   * that run different program versions must agree on the committed state even where their
   * validation rules differ. Items that this program version cannot use are kept as they were sent,
   * and are missing from {@link #configuration}.
   */
  public static ConfigurationOutcome committed(byte[] document) {
    return DocumentReader.committedDocument(document);
  }

  /**
   * Returns this configuration with an already committed patch applied, without validating the
   * result, as {@link #committed} does.
   */
  public ConfigurationOutcome committedPatch(byte[] patch) {
    return DocumentReader.committedPatch(parts, patch);
  }

  /**
   * Returns the patch that turns an earlier configuration into exactly this one; empty if no patch
   * does, for example because items have another order.
   */
  public Optional<byte[]> patchFrom(ConfigurationDocument previous) {
    return DocumentDifference.patch(previous.parts, parts);
  }

  /** Returns the version of the configuration, which is above 0. */
  public long version() {
    return configuration.version();
  }

  /** Returns the configuration parsed from the document. */
  public FleetConfiguration configuration() {
    return configuration;
  }

  /**
   * Returns whether the configuration has tenants. If so, requests to routes that are not public
   * need an API key.
   */
  public boolean hasTenants() {
    return !configuration.tenants().isEmpty();
  }

  /** Returns the complete document as JSON in UTF-8. Callers must not modify the array. */
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
    text.writeBytes(utf8("," + JsonText.quoted(field) + ":"));
  }

  private static byte[] utf8(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
