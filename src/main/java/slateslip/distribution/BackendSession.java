package slateslip.distribution;

/**
 * A registered backend, as control agents store it and data planes receive it.
 *
 * @param id incarnation id; each start of a backend has a new id
 * @param service name of the service to which the backend belongs
 * @param address IPv4 address and port, {@code a.b.c.d:port}
 * @param zone zone of the backend
 * @param version version of the backend's software
 * @param slots number of requests that the backend processes at a time
 * @param draining whether the backend accepts no new requests
 * @param remainingWarmupMillis how much longer the backend responds slowly after its start
 * @param sequence number that the backend gave to its heartbeat; a higher number is newer
 */
public record BackendSession(
    String id,
    String service,
    String address,
    String zone,
    String version,
    int slots,
    boolean draining,
    long remainingWarmupMillis,
    long sequence) {
  /** Returns a copy of this session with another sequence number. */
  public BackendSession withSequence(long newSequence) {
    return new BackendSession(
        id, service, address, zone, version, slots, draining, remainingWarmupMillis, newSequence);
  }
}
