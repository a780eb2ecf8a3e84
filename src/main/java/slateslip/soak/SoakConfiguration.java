package slateslip.soak;

import java.util.Base64;
import java.util.Random;

/** Builds the configuration documents of a soak test. */
final class SoakConfiguration {
  static final String HOST = "soak.example";
  static final String STREAMS = "streams";
  static final String ENTRIES = "entries";
  static final String OPTIONAL_ENTRIES = "optional-entries";
  static final String LIMITED_ENTRIES = "limited-entries";

  private static final int TIMEOUT_MILLIS = 15_000;

  private static final int PADDING_NAME_BYTES = 60;

  private SoakConfiguration() {}

  /**
   * Returns routes that no client uses, each after a comma, with about this length in bytes. Their
   * names are drawn, so that they hardly compress.
   */
  static String padding(long seed, int bytes) {
    Random random = new Random(seed);
    StringBuilder routes = new StringBuilder();
    byte[] drawn = new byte[PADDING_NAME_BYTES];
    while (routes.length() < bytes) {
      random.nextBytes(drawn);
      String name = Base64.getUrlEncoder().withoutPadding().encodeToString(drawn);
      routes.append(',').append(route(name, ENTRIES, "non_idempotent", false, true));
    }
    return routes.toString();
  }

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
   *
   * @param padding routes that make the document long
   */
  static String document(long version, boolean withOptionalRoute, String padding) {
    String routes =
        String.join(
            ",",
            route(STREAMS, "streaming", true, true),
            route(ENTRIES, "non_idempotent", false, true),
            route(LIMITED_ENTRIES, "non_idempotent", false, false) + padding);
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

  private static String route(String service, String kind, boolean resumable, boolean isPublic) {
    return route(service, service, kind, resumable, isPublic);
  }

  private static String route(
      String name, String service, String kind, boolean resumable, boolean isPublic) {
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
        + service
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
