import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A change of the configuration adds three tenants, and their clients send requests with their
 * keys. Rule UNASKED: a backend gets the name of the tenant that holds the key. It counts as broken
 * only if requests of two tenants reach the backends under one and the same name.
 */
final class TenantNames {
  private static final int REQUESTS_A_TENANT = 10;

  /** What the backends were told, by the id of the request: the bytes of X-Tenant. */
  private static final Map<String, String> TENANT_SEEN = new ConcurrentHashMap<>();

  private TenantNames() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    List<String> names =
        trouble
            ? List.of("Z\u00f3na \u010c", "Z\u00f3na \u0160", "Z\u00f3na \u017d")
            : List.of("Zona C", "Zona S", "Zona Z");
    int result = Record.COULD_NOT_RUN;
    try (Record record = new Record(Path.of(arguments[1]));
        Fleet fleet = new Fleet(Path.of(arguments[0]), 3, 2)) {
      Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
      result = run(fleet, record, names);
      record.say("exit status %d", result);
    }
    System.exit(result);
  }

  private static int run(Fleet fleet, Record record, List<String> names) throws Exception {
    fleet.start();
    List<Backend> backends = new ArrayList<>();
    for (int number = 1; number <= 2; number++) {
      backends.add(
          new Backend(
              fleet, number, "libro-eventos", Fleet.zone(number), 6, TenantNames::runRequest));
    }
    String first = Configurations.whole(1, "").replace("\"public\":true", "\"public\":false");
    Http.Message taken = fleet.order("PUT", 0, first, 15_000);
    if (taken == null || taken.status() != 200 || !fleet.awaitReady(15_000)) {
      record.say("the fleet did not come up");
      return Record.COULD_NOT_RUN;
    }
    Http.Message changed = fleet.order("PATCH", 1, tenants(names), 10_000);
    if (changed == null || changed.status() != 200) {
      record.say("the change was not taken: %s", changed == null ? "" : changed.firstLine);
      return changed == null ? Record.COULD_NOT_RUN : Record.HELD;
    }
    record.say("acknowledged: tenants %s", names);
    Thread.sleep(4_000); // config_apply_ms is 2 s; all backends have registered
    readBack(fleet, record, names);
    Map<String, Set<String>> tenantsBySeen = new LinkedHashMap<>();
    int ran = sendAll(fleet, record, names, tenantsBySeen);
    boolean broken = false;
    for (Map.Entry<String, Set<String>> seen : tenantsBySeen.entrySet()) {
      record.say("X-Tenant \"%s\" was set for requests of %s", seen.getKey(), seen.getValue());
      broken |= seen.getValue().size() > 1;
    }
    if (ran < names.size() * REQUESTS_A_TENANT / 2) {
      return Record.COULD_NOT_RUN;
    }
    return broken ? Record.BROKEN : Record.HELD;
  }

  private static void runRequest(Backend backend, Http.Message request, OutputStream output)
      throws IOException {
    TENANT_SEEN.put(request.header("X-Attempt-Id"), request.header("X-Tenant"));
    Http.write(output, "HTTP/1.1 200 OK", backend.headers(request), "done".getBytes());
  }

  private static String tenants(List<String> names) {
    StringBuilder list = new StringBuilder();
    for (int number = 0; number < names.size(); number++) {
      list.append(number == 0 ? "" : ",");
      list.append(
          String.format("{\"name\":\"%s\",\"api_keys\":[\"%s\"]}", names.get(number), key(number)));
    }
    return String.format("{\"version\":2,\"upsert\":{\"tenants\":[%s]}}", list);
  }

  private static String key(int number) {
    return "3d3zji9n73hh2b9wu3f" + (char) ('a' + number);
  }

  private static void readBack(Fleet fleet, Record record, List<String> names)
      throws IOException {
    String address = fleet.control.get(0).control();
    Http.Message read =
        Http.call(address, "GET /config HTTP/1.1", Map.of("Host", address), new byte[0], 3_000);
    boolean all = names.stream().allMatch(name -> read.text().contains('"' + name + '"'));
    record.say("GET /config: %d, with all names: %b", read.status(), all);
  }

  private static int sendAll(
      Fleet fleet, Record record, List<String> names, Map<String, Set<String>> tenantsBySeen)
      throws IOException {
    int ran = 0;
    for (int number = 0; number < names.size() * REQUESTS_A_TENANT; number++) {
      int tenant = number % names.size();
      String id = "t" + tenant + "-" + number;
      Map<String, String> headers = new LinkedHashMap<>();
      headers.put("Host", "fleet.example");
      headers.put("X-Attempt-Id", id);
      headers.put("X-Deadline-Ms", "3000");
      headers.put("X-Credential", key(tenant));
      Http.Message answer =
          Http.call(
              fleet.edge.get(number % fleet.edge.size()).front(),
              "POST /ledger/entry HTTP/1.1",
              headers,
              "x".getBytes(),
              4_000);
      String bytes = TENANT_SEEN.get(id);
      String seen = bytes == null ? null : utf8(bytes);
      record.detail(
          "%s with the key of \"%s\": %d, X-Tenant \"%s\"",
          id, names.get(tenant), answer.status(), seen);
      if (seen != null) {
        ran++;
        tenantsBySeen.computeIfAbsent(seen, key -> new TreeSet<>()).add(names.get(tenant));
      }
    }
    return ran;
  }

  /** The header's bytes as UTF-8, as they are in the configuration. */
  private static String utf8(String bytes) {
    return new String(bytes.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
  }
}
