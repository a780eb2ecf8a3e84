package slateslip.simulation.agents;

import java.util.SplittableRandom;

/**
 * Prints how long a configuration takes to a data plane that was restarted behind a slow link, by
 * the size of the document and the rate of the link, in simulated time.
 */
public final class TransferTimeReport {
  private static final int[] SIZES_BYTES = {100_000, 850_000, 1_500_000, 4_000_000};
  private static final int[] RATES_BYTES_PER_MILLI = {875, 15_000};
  private static final long SETTLE_MICROS = 10_000_000;
  private static final long TIMEOUT_MICROS = 30_000_000;
  private static final long MICROS_PER_MILLI = 1_000;

  private TransferTimeReport() {}

  /** Prints the report; there are no arguments. */
  public static void main(String[] arguments) {
    for (int rate : RATES_BYTES_PER_MILLI) {
      for (int bytes : SIZES_BYTES) {
        report(rate, bytes, false);
        report(rate, bytes, true);
      }
    }
  }

  private static void report(int bytesPerMilli, int bytes, boolean compressible) {
    DirectedRun run = new DirectedRun(AgentWorld.Shape.of(3, 1), 1, 0);
    DataPlaneMachine slow = run.world().dataPlanes().get(0);
    slow.faultActiveUntil(Long.MAX_VALUE / 2);
    run.world().network().limitDownlink(slow.address(), bytesPerMilli);
    run.submit(ConfigurationChange.complete(0, 1, "first"));
    SplittableRandom random = new SplittableRandom(1);
    run.submit(
        compressible
            ? ConfigurationChange.large(1, 2, "second", bytes)
            : ConfigurationChange.incompressible(1, 2, "second", bytes, random));
    run.advance(SETTLE_MICROS);
    slow.kill();
    run.world().start(slow);
    long inForceMicros = run.timeUntilApplied(2, TIMEOUT_MICROS);
    System.out.printf(
        "%d bytes/ms, %d bytes, %s: in force after %d ms, longest heartbeat gap %d ms%n",
        bytesPerMilli,
        bytes,
        compressible ? "repetitive routes" : "drawn names",
        inForceMicros < 0 ? -1 : inForceMicros / MICROS_PER_MILLI,
        slow.longestHeartbeatGapMicros() / MICROS_PER_MILLI);
  }
}
