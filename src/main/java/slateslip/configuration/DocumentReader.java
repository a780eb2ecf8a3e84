package slateslip.configuration;

import io.avaje.json.JsonException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads whole documents and patches, and has the result checked. */
final class DocumentReader {
  private static final String UPSERT = "upsert";
  private static final String REMOVE = "remove";

  private DocumentReader() {}

  static ConfigurationOutcome whole(byte[] document, long currentVersion) {
    return read(document, currentVersion, DocumentReader::readWhole);
  }

  static ConfigurationOutcome patch(DocumentParts current, byte[] patch) {
    return read(patch, current.version(), fields -> readPatch(current, fields));
  }

  private interface Reading {
    DocumentParts read(FieldReader fields);
  }

  private static ConfigurationOutcome read(byte[] json, long currentVersion, Reading reading) {
    String malformed = JsonSyntax.problem(json);
    if (malformed != null) {
      return new ConfigurationOutcome.Invalid("the document cannot be read: " + malformed);
    }
    try (FieldReader fields = new FieldReader(json)) {
      if (!fields.beginObject()) {
        return new ConfigurationOutcome.Invalid("the document is not an object");
      }
      DocumentParts parts = reading.read(fields);
      String problem = fields.problem();
      if (problem == null) {
        problem = DocumentChecks.problem(parts, currentVersion);
      }
      return problem == null ? parsed(parts) : new ConfigurationOutcome.Invalid(problem);
    } catch (JsonException unreadable) {
      String reason = "the document cannot be read: " + unreadable.getMessage();
      return new ConfigurationOutcome.Invalid(reason);
    }
  }

  private static ConfigurationOutcome parsed(DocumentParts parts) {
    List<Tenant> tenants = parts.tenants() == null ? List.of() : parts.tenants().values();
    FleetConfiguration configuration =
        new FleetConfiguration(
            parts.version(),
            parts.routes().values(),
            parts.services().values(),
            parts.limits(),
            tenants);
    return new ConfigurationOutcome.Parsed(new ConfigurationDocument(parts, configuration));
  }

  private static DocumentParts readWhole(FieldReader fields) {
    DocumentParts parts = DocumentParts.NONE;
    while (fields.nextField()) {
      parts = parts.replaced(fields.field(), fields);
    }
    return parts;
  }

  private static DocumentParts readPatch(DocumentParts current, FieldReader fields) {
    DocumentParts parts = current.replacedVersion(0);
    Map<String, String> upserts = Map.of();
    Map<String, String> removals = Map.of();
    while (fields.nextField()) {
      switch (fields.field()) {
        case UPSERT -> upserts = rawFields(fields);
        case REMOVE -> removals = rawFields(fields);
        default -> parts = parts.replaced(fields.field(), fields);
      }
    }
    for (Map.Entry<String, String> removal : removals.entrySet()) {
      parts = remove(parts, removal.getKey(), removal.getValue(), fields);
    }
    for (Map.Entry<String, String> upsert : upserts.entrySet()) {
      parts = upsert(parts, upsert.getKey(), upsert.getValue(), fields);
    }
    return parts;
  }

  private static Map<String, String> rawFields(FieldReader fields) {
    Map<String, String> values = new LinkedHashMap<>();
    if (fields.beginObject()) {
      while (fields.nextField()) {
        String field = fields.field();
        String json = fields.raw();
        if (!json.equals(FieldReader.NULL)) {
          values.put(field, json);
        }
      }
    }
    return values;
  }

  private static DocumentParts remove(
      DocumentParts parts, String field, String json, FieldReader problems) {
    if (!isList(json)) {
      problems.report(REMOVE + "." + field, "is not a list of names");
      return parts;
    }
    try (FieldReader source = new FieldReader(json)) {
      List<String> names = source.texts();
      if (source.problem() != null) {
        problems.report(REMOVE + "." + field, "is not a list of names");
      }
      return parts.removed(field, names, problems);
    }
  }

  private static DocumentParts upsert(
      DocumentParts parts, String field, String json, FieldReader problems) {
    if (field.equals(DocumentParts.LIMITS)) {
      return parts.withLimits(json, problems);
    }
    if (!isList(json)) {
      problems.report(UPSERT + "." + field, "is not a list");
      return parts;
    }
    try (FieldReader source = new FieldReader(json)) {
      DocumentParts changed = parts.upserted(field, source);
      if (source.problem() != null) {
        problems.report(UPSERT + ":", source.problem());
      }
      return changed;
    }
  }

  private static boolean isList(String json) {
    return json.startsWith("[");
  }
}
