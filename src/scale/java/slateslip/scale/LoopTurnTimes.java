package slateslip.scale;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import slateslip.controlplane.state.ConfigurationState;
import slateslip.coordination.PreparedCommand;
import slateslip.distribution.BackendSession;
import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.distribution.peer.OperatorRequest;
import slateslip.distribution.peer.SessionEntry;
import slateslip.distribution.peer.SessionRenewal;
import slateslip.distribution.sessions.SessionTable;
import slateslip.protocol.peer.ControlPeerCodec;
import slateslip.protocol.peer.OperatorRequestCodec;

/**
 * Times what holds a control agent's event loop longest, piece by piece: changes of a configuration
 * of many routes, snapshots of it, and a session table of the target's size.
 */
final class LoopTurnTimes {
  private static final int ROUTES = 350;
  private static final int ROUTE_BYTES = 430;
  private static final int CHANGES = 400;
  private static final int SESSIONS = 12_000;
  private static final long EXPIRY_MICROS = 3_600_000;
  private static final long NANOS_PER_MICRO = 1_000;

  private LoopTurnTimes() {}

  /** Prints the times of the first runs and of later ones. */
  public static void main(String[] arguments) {
    timeChanges();
    timeSessions();
  }

  private static void timeChanges() {
    ConfigurationState primary = new ConfigurationState();
    ConfigurationState member = new ConfigurationState();
    List<Long> prepares = new ArrayList<>();
    List<Long> applies = new ArrayList<>();
    List<Long> snapshots = new ArrayList<>();
    List<Long> restores = new ArrayList<>();
    for (int version = 1; version <= CHANGES; version++) {
      byte[] command = OperatorRequestCodec.encode(change(version));
      prepares.add(time(() -> primary.prepare(command)));
      if (!(primary.prepare(command) instanceof PreparedCommand.Change)) {
        throw new IllegalStateException("a change that is refused");
      }
      primary.apply(command);
      applies.add(time(() -> member.apply(command)));
      byte[] snapshot = primary.snapshot();
      snapshots.add(time(primary::snapshot));
      restores.add(time(() -> new ConfigurationState().restore(snapshot)));
    }
    int bytes = primary.document().orElseThrow().toJson().length;
    System.out.println(ROUTES + " routes, " + bytes + " bytes, " + CHANGES + " changes");
    print("prepare at the primary", prepares);
    print("apply at a member", applies);
    print("snapshot", snapshots);
    print("restore", restores);
  }

  /** A complete configuration at first and each tenth time, else a change of one route. */
  private static OperatorRequest change(int version) {
    boolean complete = version % 10 == 1;
    String body =
        complete
            ? "{\"version\":"
                + version
                + ",\"services\":[{\"name\":\"s\",\"health_path\":\"/h\"}],\"routes\":["
                + all()
                + "]}"
            : "{\"version\":"
                + version
                + ",\"upsert\":{\"routes\":["
                + route(version % ROUTES)
                + "]}}";
    OperatorRequest.Method method =
        complete ? OperatorRequest.Method.PUT : OperatorRequest.Method.PATCH;
    return new OperatorRequest(method, version - 1, body.getBytes(StandardCharsets.UTF_8));
  }

  private static String all() {
    StringBuilder routes = new StringBuilder(route(0));
    for (int number = 1; number < ROUTES; number++) {
      routes.append(',').append(route(number));
    }
    return routes.toString();
  }

  private static String route(int number) {
    String route =
        ("{\"name\":\"r%d\",\"hostname\":\"h.example\",\"path_prefix\":\"/p%d/\","
                + "\"kind\":\"streaming\",\"timeout_ms\":8000,\"service\":\"s\",\"note\":\"")
            .formatted(number, number);
    return route + "x".repeat(ROUTE_BYTES - route.length()) + "\"}";
  }

  private static void timeSessions() {
    SessionTable table = new SessionTable(EXPIRY_MICROS);
    SessionTable peer = new SessionTable(EXPIRY_MICROS);
    List<SessionRenewal> renewals = new ArrayList<>();
    for (int number = 0; number < SESSIONS; number++) {
      table.heartbeat(1_000_000, session(number));
      renewals.add(new SessionRenewal("i-" + number, 5));
    }
    ControlPeerCodec codec = new ControlPeerCodec();
    List<Long> encodes = new ArrayList<>();
    List<Long> merges = new ArrayList<>();
    List<Long> renewing = new ArrayList<>();
    List<Long> expiring = new ArrayList<>();
    for (int round = 0; round < 50; round++) {
      List<SessionEntry> entries = table.entries(1_500_000);
      encodes.add(
          time(
              () ->
                  codec.encode(
                      new ControlPeerMessage.SessionChanges(0, true, entries, List.of()))));
      merges.add(time(() -> entries.forEach(entry -> peer.merge(1_500_000, "p", entry))));
      renewing.add(time(() -> renewals.forEach(each -> peer.merge(1_600_000, "p", each))));
      expiring.add(time(() -> peer.expire(1_700_000)));
    }
    System.out.println(SESSIONS + " sessions");
    print("encode the whole table", encodes);
    print("merge a whole table", merges);
    print("merge renewals of all", renewing);
    print("expire", expiring);
  }

  private static BackendSession session(int number) {
    String address = "10." + number / 250 + ".0." + number % 250 + ":8080";
    return new BackendSession("i-" + number, "s", address, "z", "v1", 64, false, 0, 1);
  }

  private static long time(Runnable task) {
    long begin = System.nanoTime();
    task.run();
    return (System.nanoTime() - begin) / NANOS_PER_MICRO;
  }

  private static void print(String what, List<Long> micros) {
    long first = micros.get(0);
    List<Long> sorted = new ArrayList<>(micros);
    Collections.sort(sorted);
    System.out.printf(
        "  %-24s first %d us, median %d us, 99 in 100 %d us, most %d us%n",
        what,
        first,
        sorted.get(sorted.size() / 2),
        sorted.get(sorted.size() * 99 / 100),
        sorted.get(sorted.size() - 1));
  }
}
