package slateslip.simulation.dataplane;

import java.util.SplittableRandom;
import slateslip.simulation.EventQueue;

/**
 * Simulates requests whose bodies take long to send. A backend starts to execute a request once it
 * has received the head of the request. Some connections end after an arbitrary number of bytes,
 * which may be zero.
 */
final class LongBodies {
  private static final int HEAD_BYTES = 300;
  private static final int MAX_BODY_BYTES = 4 << 20;

  /** Bytes that the buffers between the data plane and the backend accept immediately. */
  private static final int BUFFERED_BYTES = 256 << 10;

  private static final long MAX_TRANSFER_MICROS = 400_000;

  /** Share of connections that end before the complete request is sent. */
  private static final double CUT_SHARE = 0.2;

  private final EventQueue loop;
  private final FaultWindows windows;
  private final SplittableRandom random;

  /**
   * The course of sending one request.
   *
   * @param totalBytes size of head and body together
   * @param sentBytes bytes that the connection accepts before the connection ends; equal to the
   *     total if the connection does not end
   * @param transferMicros time in microseconds until these bytes are accepted
   */
  record Transfer(int totalBytes, int sentBytes, long transferMicros) {
    boolean isCut() {
      return sentBytes < totalBytes;
    }

    /**
     * Returns whether the backend receives the complete head and so starts to execute the request.
     */
    boolean includesHead() {
      return sentBytes >= HEAD_BYTES;
    }
  }

  LongBodies(WorldPlan plan, EventQueue loop, FaultWindows windows) {
    this.loop = loop;
    this.windows = windows;
    this.random = new SplittableRandom(plan.seed() ^ 0x424f_4459L);
  }

  /**
   * Draws how the next request is sent; returns null if the connection accepts the complete request
   * immediately.
   */
  Transfer next() {
    double share = windows.strength(Fault.Kind.LONG_BODIES);
    if (share == 0 || random.nextDouble() >= share) {
      return null;
    }
    int total = HEAD_BYTES + 1 + random.nextInt(MAX_BODY_BYTES);
    int sent = random.nextDouble() < CUT_SHARE ? cutBytes(total) : total;
    return new Transfer(total, sent, random.nextLong(MAX_TRANSFER_MICROS));
  }

  /**
   * Draws where a connection ends: half of the draws are uniform over the first bytes, up to twice
   * the size of the head, where the cut decides whether the backend starts; the others are uniform
   * over the request.
   */
  private int cutBytes(int total) {
    return random.nextInt(random.nextBoolean() ? 2 * HEAD_BYTES : total) % total;
  }

  /**
   * Sends the buffered bytes of a call immediately and the other bytes after the transfer time;
   * runs {@code cut} then if the connection ends early.
   */
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
