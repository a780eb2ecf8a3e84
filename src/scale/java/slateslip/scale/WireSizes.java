package slateslip.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import slateslip.distribution.BackendSession;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.DataPlaneMessage;
import slateslip.distribution.QuotaAllocation;
import slateslip.distribution.QuotaReport;
import slateslip.distribution.TenantDemand;
import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.distribution.peer.SessionRenewal;
import slateslip.loadbalancer.scale.Slope;
import slateslip.protocol.Framing;
import slateslip.protocol.distribution.DistributionCodec;
import slateslip.protocol.peer.ControlPeerCodec;

/** Bytes of messages by the number of their entries; no process, no clock. */
final class WireSizes {
  private static final List<Integer> SIZES = List.of(10, 100, 1_000, 4_000, 12_000);
  private static final int VALIDATION_SIZE = 4_000;
  private static final DistributionCodec CODEC = new DistributionCodec();

  private WireSizes() {}

  /** The table's lines. */
  static List<String> lines() {
    List<String> lines = new ArrayList<>();
    lines.add(String.join(" | ", Slope.header("bytes", new TreeSet<>(SIZES), VALIDATION_SIZE)));
    lines.add(line("whole table of sessions", WireSizes::snapshot));
    lines.add(line("sessions changed", WireSizes::delta));
    lines.add(line("shares of tenants", WireSizes::shares));
    lines.add(line("demand of tenants", WireSizes::demand));
    lines.add(line("heartbeat that names control agents", WireSizes::heartbeat));
    lines.add(line("renewals between control agents", WireSizes::renewals));
    return lines;
  }

  private static String line(String name, IntFunction<byte[]> message) {
    Slope slope = new Slope(VALIDATION_SIZE);
    SIZES.forEach(size -> slope.add(size, Framing.LENGTH_BYTES + message.apply(size).length));
    return String.join(" | ", slope.row(name, 0));
  }

  /** Bytes of a full table of sessions, its length field included. */
  static int snapshotBytes(int size) {
    return Framing.LENGTH_BYTES + snapshot(size).length;
  }

  private static byte[] snapshot(int size) {
    return CODEC.encode(new ControlPlaneMessage.SessionSnapshot(1, true, sessions(size)));
  }

  private static byte[] delta(int size) {
    return CODEC.encode(new ControlPlaneMessage.SessionDelta(1, sessions(size), List.of()));
  }

  private static List<BackendSession> sessions(int size) {
    return IntStream.range(0, size).mapToObj(WireSizes::session).toList();
  }

  /** Names as long as those of the deployments that were played. */
  private static BackendSession session(int number) {
    String id = String.format("pool-modelos-%05d-%08x", number, number);
    String address = "10.8." + number / 250 + "." + (1 + number % 250) + ":8080";
    return new BackendSession(
        id, "pool-modelos", address, "nave-meseta", "v17", 64, false, 0, 1_000_000 + number);
  }

  private static byte[] shares(int size) {
    List<QuotaAllocation.TenantShare> tenants =
        IntStream.range(0, size)
            .mapToObj(tenant -> new QuotaAllocation.TenantShare(tenant(tenant), 0.01))
            .toList();
    return CODEC.encode(new ControlPlaneMessage.QuotaUpdate(new QuotaAllocation(570, tenants)));
  }

  private static byte[] demand(int size) {
    List<TenantDemand> tenants =
        IntStream.range(0, size)
            .mapToObj(tenant -> new TenantDemand(tenant(tenant), 1_000_000, 1_000_000))
            .toList();
    return CODEC.encode(
        new DataPlaneMessage.Demand(new QuotaReport(1, 1, 1, 1, 570, false, tenants)));
  }

  private static byte[] renewals(int size) {
    List<SessionRenewal> renewals =
        sessions(size).stream().map(each -> new SessionRenewal(each.id(), 100)).toList();
    return new ControlPeerCodec().encode(new ControlPeerMessage.SessionRenewals(renewals));
  }

  private static byte[] heartbeat(int size) {
    List<String> agents =
        IntStream.range(0, size)
            .mapToObj(agent -> "10.9." + agent / 250 + "." + agent % 250)
            .toList();
    return CODEC.encode(new ControlPlaneMessage.Heartbeat(true, 22_000, 1_000_000, agents));
  }

  private static String tenant(int number) {
    return String.format("tenant-%05d", number);
  }
}
