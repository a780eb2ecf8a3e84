package slateslip.simulation.dataplane;

import java.util.SplittableRandom;
import slateslip.simulation.EventQueue;

/**
 * Requests with bodies that take long to send. A backend begins work once it has the head; the
 * connection of some ends after any number of bytes, none included.
 */
final class LongBodies {
  private static final int HEAD_BYTES = 300;
  private static final int MAX_BODY_BYTES = 4 << 20;

  /** Bytes that the buffers between the two hold, and take at once. */
  private static final int BUFFERED_BYTES = 256 << 10;

  private static final long MAX_TRANSFER_MICROS = 400_000;

  /** Share of connections that end before the whole request is sent. */
  private static final double CUT_SHARE = 0.2;

  private final EventQueue loop;
  private final FaultWindows windows;
  private final SplittableRandom random;

  /**
   * How one request is sent.
   *
   * @param totalBytes of head and body
   * @param sentBytes that the connection takes before it ends; all if it does not end
   * @param transferMicros until it has taken these
   */
  record Transfer(int totalBytes, int sentBytes, long transferMicros) {
    boolean isCut() {
      return sentBytes < totalBytes;
    }

    /** Whether the backend has the head, and so begins. */
    boolean includesHead() {
      return sentBytes >= HEAD_BYTES;
    }
  }

  LongBodies(WorldPlan plan, EventQueue loop, FaultWindows windows) {
    this.loop = loop;
    this.windows = windows;
    this.random = new SplittableRandom(plan.seed() ^ 0x424f_4459L);
  }

  /** How a request that is sent now leaves; null if its connection takes it all at once. */
  Transfer next() {
    double share = windows.strength(Fault.Kind.LONG_BODIES);
    if (share == 0 || random.nextDouble() >= share) {
      return null;
    }
    int total = HEAD_BYTES + 1 + random.nextInt(MAX_BODY_BYTES);
    int sent = random.nextDouble() < CUT_SHARE ? cutBytes(total) : total;
    return new Transfer(total, sent, random.nextLong(MAX_TRANSFER_MICROS));
  }

  /** Evenly within the head, where each byte matters most, or anywhere. */
  private int cutBytes(int total) {
    return random.nextInt(random.nextBoolean() ? 2 * HEAD_BYTES : total) % total;
  }

  /** Lets the connection of a call take its bytes; then the rest, or its end. */
  void send(BackendCall call, Transfer transfer, Runnable cut) {
    call.transmission().sent(Math.min(transfer.sentBytes(), BUFFERED_BYTES));
    loop.after(
        transfer.transferMicros(),
        () -> {
          call.transmission().sent(transfer.sentBytes());
          if (transfer.isCut()) {
            cut.run();
          } else {
            call.transmission().completed();
          }
        });
  }
}
