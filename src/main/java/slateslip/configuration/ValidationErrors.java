package slateslip.configuration;

/** Keeps the first problem that was found in a document. */
public final class ValidationErrors {
  private String first;

  /** Remembers a problem, unless there is an earlier one. */
  void report(String subject, String reason) {
    if (first == null) {
      first = subject + " " + reason;
    }
  }

  /** Takes over the problem of a part. */
  void reportAll(String subject, ValidationErrors part) {
    if (part.first != null) {
      report(subject, part.first);
    }
  }

  /** The first problem; null if there is none. */
  public String first() {
    return first;
  }
}
