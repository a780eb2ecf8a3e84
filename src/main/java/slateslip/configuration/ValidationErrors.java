package slateslip.configuration;

/** Collects errors found in a document and keeps only the first one. */
public final class ValidationErrors {
  private String first;

  /** Records an error, unless an earlier error was recorded. */
  void report(String subject, String reason) {
    if (first == null) {
      first = subject + " " + reason;
    }
  }

  /** Records the error of a part of the document, if the part has one. */
  void reportAll(String subject, ValidationErrors part) {
    if (part.first != null) {
      report(subject, part.first);
    }
  }

  /** Returns the first error, or null if there is none. */
  public String first() {
    return first;
  }
}
