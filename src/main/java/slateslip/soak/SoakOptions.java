package slateslip.soak;

import java.nio.file.Path;
import java.util.SplittableRandom;

/**
 * Parameters of a soak test.
 *
 * @param seed seed of all random numbers
 * @param seconds duration of the client traffic in seconds
 * @param dataPlanes number of data planes
 * @param controlAgents number of control agents
 * @param clients number of clients, each of which has its own connection
 * @param jars folder with the jars of both programs
 */
record SoakOptions(
    long seed, int seconds, int dataPlanes, int controlAgents, int clients, Path jars) {
  private static final int MAX_PADDING_BYTES = 850_000;

  /** Returns how many control agents may fail at the same time without loss of the majority. */
  int faultTolerance() {
    return (controlAgents - 1) / 2;
  }

  /** Returns the length in bytes of the routes that make the configuration long, by the seed. */
  int paddingBytes() {
    return new SplittableRandom(seed).nextInt(MAX_PADDING_BYTES);
  }
}
