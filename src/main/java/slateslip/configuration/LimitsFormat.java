package slateslip.configuration;

/** Parses the limits of client connections. A limit that is missing or 0 gets its default. */
final class LimitsFormat {
  private LimitsFormat() {}

  /** Reads the fields of the open object and closes the object. */
  static IngressLimits read(FieldReader fields) {
    int header = 0;
    int body = 0;
    long headerTimeout = 0;
    long idleTimeout = 0;
    while (fields.nextField()) {
      switch (fields.field()) {
        case "max_header_bytes" -> header = fields.intCount(0);
        case "max_body_bytes" -> body = fields.intCount(0);
        case "header_timeout_ms" -> headerTimeout = fields.count(0);
        case "idle_timeout_ms" -> idleTimeout = fields.count(0);
        default -> fields.skip();
      }
    }
    IngressLimits defaults = IngressLimits.DEFAULT;
    return new IngressLimits(
        header > 0 ? header : defaults.maxHeaderBytes(),
        body > 0 ? body : defaults.maxBodyBytes(),
        headerTimeout > 0 ? headerTimeout : defaults.headerTimeoutMillis(),
        idleTimeout > 0 ? idleTimeout : defaults.idleTimeoutMillis());
  }
}
