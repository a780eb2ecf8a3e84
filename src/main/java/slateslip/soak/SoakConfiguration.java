package slateslip.soak;

/** Builds the configuration documents of a soak test. */
final class SoakConfiguration {
  static final String HOST = "soak.example";
  static final String STREAMS = "streams";
  static final String ENTRIES = "entries";
  static final String OPTIONAL_ENTRIES = "optional-entries";
  static final String LIMITED_ENTRIES = "limited-entries";

  private static final int TIMEOUT_MILLIS = 15_000;

  private SoakConfiguration() {}

  static String path(RequestRecord.Kind kind) {
    return "/" + service(kind) + "/x";
  }

  private static String service(RequestRecord.Kind kind) {
    return switch (kind) {
      case STREAM -> STREAMS;
      case ENTRY -> ENTRIES;
      case OPTIONAL_ENTRY -> OPTIONAL_ENTRIES;
      case LIMITED_ENTRY -> LIMITED_ENTRIES;
    };
  }

  /**
   * Returns a complete configuration document, with or without the optional route and its service.
   */
  static String document(long version, boolean withOptionalRoute) {
    String routes =
        String.join(
            ",",
            route(STREAMS, "streaming", true, true),
            route(ENTRIES, "non_idempotent", false, true),
            route(LIMITED_ENTRIES, "non_idempotent", false, false));
    String services =
        String.join(",", service(STREAMS), service(ENTRIES), service(LIMITED_ENTRIES));
    if (withOptionalRoute) {
      routes += "," + route(OPTIONAL_ENTRIES, "non_idempotent", false, true);
      services += "," + service(OPTIONAL_ENTRIES);
    }
    return "{\"version\":"
        + version
        + ",\"routes\":["
        + routes
        + "],\"services\":["
        + services
        + "],\"tenants\":["
        + SoakQuota.tenant()
        + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  }

  private static String route(String name, String kind, boolean resumable, boolean isPublic) {
    return "{\"name\":\""
        + name
        + "\",\"hostname\":\""
        + HOST
        + "\",\"path_prefix\":\"/"
        + name
        + "/\",\"kind\":\""
        + kind
        + "\",\"timeout_ms\":"
        + TIMEOUT_MILLIS
        + ",\"target_latency_ms\":500,\"priority\":0,\"service\":\""
        + name
        + "\",\"max_attempts\":2,\"public\":"
        + isPublic
        + ",\"resumable\":"
        + resumable
        + ",\"gap_aim_ms\":200}";
  }

  private static String service(String name) {
    return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_conns\":360}";
  }
}
