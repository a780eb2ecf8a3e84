package slateslip.controlplane;

import slateslip.configuration.FieldReader;
import slateslip.configuration.JsonSyntax;
import slateslip.configuration.ValidationErrors;
import slateslip.coordination.NodeAddress;
import slateslip.distribution.BackendSession;

/**
 * Parses the body of {@code PUT /instances/ID}, which is a heartbeat of a backend. Unknown fields
 * are skipped.
 */
final class InstanceParser {
  private static final String DRAINING = "draining";
  private static final String READY = "ready";
  private static final int MAX_PORT = 65_535;
  private static final int MAX_ID_LENGTH = 256;

  private final String id;
  private String service;
  private String address;
  private String zone;
  private String version;
  private String state;
  private int slots;
  private long remainingWarmupMillis;
  private long sequence = -1;

  private InstanceParser(String id) {
    this.id = id;
  }

  /** Parses a heartbeat of the instance with this id. */
  static InstanceParseResult parse(String id, byte[] body) {
    if (id.isEmpty() || id.length() > MAX_ID_LENGTH) {
      return new InstanceParseResult.Invalid("the instance's id is empty or too long");
    }
    String error = isObject(body) ? JsonSyntax.findProblem(body) : "the document is not an object";
    if (error != null) {
      return new InstanceParseResult.Invalid(error);
    }
    InstanceParser parser = new InstanceParser(id);
    ValidationErrors errors = new ValidationErrors();
    try (FieldReader fields = new FieldReader(body, errors)) {
      parser.readFields(fields);
    }
    error = errors.first() == null ? parser.firstError() : errors.first();
    return error == null
        ? new InstanceParseResult.Valid(parser.session())
        : new InstanceParseResult.Invalid(error);
  }

  private static boolean isObject(byte[] body) {
    for (byte character : body) {
      if (character > ' ') {
        return character == '{';
      }
    }
    return false;
  }

  private void readFields(FieldReader fields) {
    if (!fields.beginObject()) {
      return;
    }
    while (fields.nextField()) {
      readField(fields);
    }
  }

  private void readField(FieldReader fields) {
    switch (fields.field()) {
      case "service" -> service = fields.text();
      case "address" -> address = fields.text();
      case "zone" -> zone = fields.text();
      case "version" -> version = fields.text();
      case "state" -> state = fields.text();
      case "slots" -> slots = fields.intCount(0);
      case "cold_left_ms" -> remainingWarmupMillis = fields.count(0);
      case "seq" -> sequence = fields.count(-1);
      default -> fields.skip();
    }
  }

  /**
   * Returns an error message about the first missing or invalid field; null if all fields are
   * valid.
   */
  private String firstError() {
    if (service == null || service.isEmpty()) {
      return "service is missing";
    }
    if (address == null || !isSocketAddress(address)) {
      return "address is not an IPv4 address and port";
    }
    if (zone == null) {
      return "zone is missing";
    }
    if (!READY.equals(state) && !DRAINING.equals(state)) {
      return "state is neither " + READY + " nor " + DRAINING;
    }
    return sequence < 0 ? "seq is missing" : null;
  }

  private static boolean isSocketAddress(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 0) {
      return false;
    }
    try {
      NodeAddress.parse(text.substring(0, colon));
      int port = Integer.parseInt(text.substring(colon + 1));
      return port > 0 && port <= MAX_PORT;
    } catch (IllegalArgumentException malformed) {
      return false;
    }
  }

  private BackendSession session() {
    return new BackendSession(
        id,
        service,
        address,
        zone,
        version == null ? "" : version,
        slots,
        DRAINING.equals(state),
        remainingWarmupMillis,
        sequence);
  }
}
