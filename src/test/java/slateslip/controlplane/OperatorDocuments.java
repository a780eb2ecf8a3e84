package slateslip.controlplane;

/** Creates request bodies of operators and backends. */
final class OperatorDocuments {
  private OperatorDocuments() {}

  static String complete(long version) {
    return "{\"version\":"
        + version
        + ",\"routes\":["
        + route("r")
        + "],\"services\":[{\"name\":\"s\",\"health_path\":\"/health\",\"max_conns\":9}]}";
  }

  static String patch(long version, String routeName) {
    return "{\"version\":" + version + ",\"upsert\":{\"routes\":[" + route(routeName) + "]}}";
  }

  private static String route(String name) {
    return "{\"name\":\""
        + name
        + "\",\"hostname\":\"h.example\",\"path_prefix\":\"/"
        + name
        + "/\",\"kind\":\"idempotent\",\"timeout_ms\":500,\"target_latency_ms\":100,"
        + "\"priority\":0,\"service\":\"s\",\"max_attempts\":1,\"public\":true}";
  }

  static String instance(String state, int sequence) {
    return "{\"service\":\"s\",\"address\":\"10.1.0.9:8080\",\"zone\":\"z\",\"version\":\"v1\","
        + "\"slots\":8,\"state\":\""
        + state
        + "\",\"cold_left_ms\":0,\"stage\":\"prefill_decode\",\"models\":[{\"name\":\"m\"}],\"seq\":"
        + sequence
        + "}";
  }
}
