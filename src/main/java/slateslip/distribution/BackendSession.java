package slateslip.distribution;

/**
 * One registered backend, as control agents hold it and data planes receive it.
 *
 * @param id incarnation id; each start of a backend has a new one
 * @param service name of its service
 * @param address IPv4 address and port, {@code a.b.c.d:port}
 * @param zone its zone
 * @param version of its software
 * @param slots requests it works on at a time
 * @param draining whether it takes nothing new
 * @param remainingWarmupMillis how much longer it stays slow from its start
 * @param sequence the backend's own call number; a higher one is newer
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
  /** The same with another call number. */
  public BackendSession withSequence(long newSequence) {
    return new BackendSession(
        id, service, address, zone, version, slots, draining, remainingWarmupMillis, newSequence);
  }
}
