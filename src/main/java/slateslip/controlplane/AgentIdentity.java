package slateslip.controlplane;

import java.util.concurrent.ThreadLocalRandom;
import slateslip.distribution.exchange.ExchangeMessage;

/**
 * This process, as other agents know it.
 *
 * @param address IPv4 address of its machine
 * @param incarnation drawn at random at its start
 */
record AgentIdentity(String address, long incarnation) {
  /** Draws an identity for a process that starts. */
  static AgentIdentity draw(String address) {
    return new AgentIdentity(address, ThreadLocalRandom.current().nextLong());
  }

  /** What it says first on a connection. */
  ExchangeMessage.Greeting greeting() {
    return new ExchangeMessage.Greeting(address, incarnation);
  }
}
