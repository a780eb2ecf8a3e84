package slateslip.configuration;

import io.avaje.json.JsonException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses complete configuration documents and patches, and validates the result. */
final class DocumentReader {
  static final String UPSERT = "upsert";
  static final String REMOVE = "remove";

  private DocumentReader() {}

  /** Parses and validates a complete document. */
  static ConfigurationOutcome document(byte[] document, long currentVersion) {
    return read(document, DocumentReader::readDocument, checkedAgainst(currentVersion));
  }

  /** Applies a patch to the current document and validates the result. */
  static ConfigurationOutcome patch(DocumentParts current, byte[] patch) {
    return read(
        patch,
        (fields, problems) -> readPatch(current, fields, problems),
        checkedAgainst(current.version()));
  }

  /**
   * Parses a complete document without validating it, because it was validated before it was
   * committed, possibly by another program version.
   */
  static ConfigurationOutcome committedDocument(byte[] document) {
    return read(document, DocumentReader::readDocument, UNCHECKED);
  }

  /**
   * Applies a patch without validating the result, because the patch was validated before it was
   * committed, possibly by another program version.
   */
  static ConfigurationOutcome committedPatch(DocumentParts current, byte[] patch) {
    return read(patch, (fields, problems) -> readPatch(current, fields, problems), UNCHECKED);
  }

  private static Check checkedAgainst(long currentVersion) {
    return (parts, problems) -> {
      String problem = problems.first();
      return problem == null ? DocumentChecks.findProblem(parts, currentVersion) : problem;
    };
  }

  private interface PartsReader {
    DocumentParts read(Map<String, JsonSlice> fields, ValidationErrors problems);
  }

  /** Validates a parsed document: returns the first error, or null if the document is valid. */
  private interface Check {
    String problem(DocumentParts parts, ValidationErrors problems);
  }

  private static final Check UNCHECKED = (parts, problems) -> null;

  private static ConfigurationOutcome read(byte[] json, PartsReader reader, Check check) {
    String malformed = JsonSyntax.findProblem(json);
    if (malformed != null) {
      return unreadable(malformed);
    }
    JsonSlice document = JsonSlice.ofDocument(json);
    if (!document.isObject()) {
      return unreadable("it is not an object");
    }
    try {
      ValidationErrors problems = new ValidationErrors();
      DocumentParts parts = reader.read(presentFields(document), problems);
      String problem = check.problem(parts, problems);
      return problem == null
          ? parsed(parts.withMissingLists())
          : new ConfigurationOutcome.Invalid(problem);
    } catch (JsonException unreadable) {
      return unreadable(unreadable.getMessage());
    }
  }

  private static ConfigurationOutcome unreadable(String reason) {
    return new ConfigurationOutcome.Invalid("the document cannot be read: " + reason);
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

  private static DocumentParts readDocument(
      Map<String, JsonSlice> fields, ValidationErrors problems) {
    DocumentParts parts = DocumentParts.EMPTY;
    for (Map.Entry<String, JsonSlice> field : fields.entrySet()) {
      parts = parts.replaced(field.getKey(), field.getValue(), problems);
    }
    return parts;
  }

  private static DocumentParts readPatch(
      DocumentParts current, Map<String, JsonSlice> fields, ValidationErrors problems) {
    DocumentParts parts = current.withVersion(0);
    Map<String, JsonSlice> removals = nested(fields.remove(REMOVE), REMOVE, problems);
    Map<String, JsonSlice> upserts = nested(fields.remove(UPSERT), UPSERT, problems);
    for (Map.Entry<String, JsonSlice> field : fields.entrySet()) {
      parts = parts.replaced(field.getKey(), field.getValue(), problems);
    }
    for (Map.Entry<String, JsonSlice> removal : removals.entrySet()) {
      List<String> names = names(removal.getKey(), removal.getValue(), problems);
      parts = parts.removed(removal.getKey(), names, problems);
    }
    for (Map.Entry<String, JsonSlice> upsert : upserts.entrySet()) {
      parts = parts.upserted(upsert.getKey(), upsert.getValue(), problems);
    }
    return parts;
  }

  private static Map<String, JsonSlice> nested(
      JsonSlice value, String field, ValidationErrors problems) {
    if (value == null) {
      return Map.of();
    }
    if (!value.isObject()) {
      problems.report(field, "is not an object");
      return Map.of();
    }
    return presentFields(value);
  }

  /**
   * Returns the fields of an object that are not null. If a name occurs more than once, the last
   * value is used.
   */
  private static Map<String, JsonSlice> presentFields(JsonSlice object) {
    Map<String, JsonSlice> fields = new LinkedHashMap<>();
    object.forEachField(
        (name, value) -> {
          if (!value.isNull()) {
            fields.put(name, value);
          }
        });
    return fields;
  }

  private static List<String> names(String field, JsonSlice list, ValidationErrors problems) {
    ValidationErrors listProblems = new ValidationErrors();
    List<String> names = List.of();
    if (list.isList()) {
      try (FieldReader reader = new FieldReader(list.toBytes(), listProblems)) {
        names = reader.texts();
      }
    }
    if (!list.isList() || listProblems.first() != null) {
      problems.report(REMOVE + "." + field, "is not a list of names");
    }
    return names;
  }
}
